package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const maxCallerBlocks = 64

type (
	// instruments holds the metrics of requests, and the copy buffers.
	instruments struct {
		histograms sync.Map // series to *metrics.Histogram
		counters   sync.Map // result.Code to *metrics.Counter
		blocks     atomic.Int64
		buffers    sync.Pool
	}

	// series identifies a histogram: by service and class, or by service and
	// address block of the caller.
	series struct {
		service id.Service
		class   id.Class
		block   netip.Prefix
	}
)

// finish measures and logs the request, and closes the caller's connection if a
// forwarded response is incomplete.
func (c *call) finish() {
	c.body.stop()
	took := time.Since(c.started)
	c.measure(took)
	c.log(took)
	if c.headerWritten && c.status != 0 && c.responseIncomplete() {
		abortConnection()
	}
}

// responseIncomplete reports whether the result code has changed since the
// header was written, which means that the response of a backend server was
// truncated.
func (c *call) responseIncomplete() bool {
	return c.w.Header().Get(result.HeaderCode) != c.code.String()
}

func (c *call) measure(took time.Duration) {
	set := c.h.Metrics
	if set == nil {
		return
	}
	c.h.instruments.counter(set, c.code).Inc()
	if c.class == nil {
		return
	}
	s := series{service: c.file.Service, class: c.class.Name}
	c.h.instruments.histogram(set, s).Update(took.Seconds())
	if block, err := c.caller.Prefix(blockBits(c.caller)); err == nil {
		c.h.instruments.histogram(set, series{service: c.file.Service, block: block}).Update(took.Seconds())
	}
}

func blockBits(a netip.Addr) int {
	if a.Is4() {
		return 24
	}
	return 48
}

func (i *instruments) counter(set *metrics.Set, code result.Code) *metrics.Counter {
	if v, ok := i.counters.Load(code); ok {
		if m, ok := v.(*metrics.Counter); ok {
			return m
		}
	}
	info, _ := code.Info()
	m := set.GetOrCreateCounter(fmt.Sprintf(`shallotpier_requests_total{code="%s",name=%q,ran=%q}`, code, info.Name, info.Ran))
	i.counters.Store(code, m)
	return m
}

// histogram returns the histogram of a series. Address blocks of callers beyond
// maxCallerBlocks share one.
func (i *instruments) histogram(set *metrics.Set, s series) *metrics.Histogram {
	if v, ok := i.histograms.Load(s); ok {
		if m, ok := v.(*metrics.Histogram); ok {
			return m
		}
	}
	if !s.block.IsValid() {
		m := set.GetOrCreateHistogram(fmt.Sprintf(`shallotpier_request_seconds{service=%q,class=%q}`, s.service, s.class))
		i.histograms.Store(s, m)
		return m
	}
	if i.blocks.Add(1) > maxCallerBlocks {
		i.blocks.Add(-1)
		return set.GetOrCreateHistogram(fmt.Sprintf(`shallotpier_caller_request_seconds{service=%q,caller="other"}`, s.service))
	}
	m := set.GetOrCreateHistogram(fmt.Sprintf(`shallotpier_caller_request_seconds{service=%q,caller=%q}`, s.service, s.block))
	i.histograms.Store(s, m)
	return m
}

func (c *call) log(took time.Duration) {
	if c.h.Log == nil {
		return
	}
	attrs := []slog.Attr{
		slog.String("requestId", c.id), slog.String("service", string(c.serviceName())), slog.String("method", c.r.Method),
		slog.Int("code", int(c.code)), slog.String("ran", c.code.Ran().String()), slog.Int("status", c.status),
		slog.Duration("took", took), slog.Int("attempts", c.attempts), slog.Int64("bytesOut", c.bytesOut),
	}
	if c.class != nil {
		attrs = append(attrs, slog.String("class", string(c.class.Name)), slog.String("caller", c.caller.String()),
			slog.Int64("bytesIn", c.body.bytesRead()), slog.String("server", string(c.server)), slog.Uint64("version", uint64(c.table.Version)))
	}
	c.h.Log.LogAttrs(context.WithoutCancel(c.ctx), slog.LevelInfo, "request", attrs...)
}

// logExecutionEnd logs the outcome of an execution whose caller has
// disconnected.
func (c *call) logExecutionEnd() {
	if c.h.Log == nil {
		return
	}
	c.h.Log.LogAttrs(context.WithoutCancel(c.ctx), slog.LevelInfo, "executionEnded", slog.String("requestId", c.id),
		slog.String("service", string(c.file.Service)), slog.String("class", string(c.class.Name)), slog.Int("code", int(c.code)),
		slog.String("ran", c.code.Ran().String()), slog.String("server", string(c.server)))
}

// sendID returns an ID that is unique among the sends of all entries.
func (h *Handler) sendID() string {
	b := make([]byte, 0, 64)
	b = append(append(b, h.Instance...), '-')
	b = append(strconv.AppendUint(b, uint64(h.Incarnation), 36), '-')
	return string(strconv.AppendUint(b, h.sends.Add(1), 36))
}
