package forward

import (
	"log/slog"
	"time"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Location is where an entry is.
	Location struct {
		// Zone is its availability zone.
		Zone id.Zone
		// Region is the zone's region.
		Region id.Region
	}

	// timing is what the log line of a request says of its time, so that the causes of late
	// requests can be counted.
	timing struct {
		first, last time.Time // first and last send, zero if there was none
		server      *roster.Member
		cold        time.Duration // for how much longer the entry held the server for cold
		connect     time.Duration // 0 if the last send used an open connection
		pace        float64       // according to the last answer, 0 if unknown
	}
)

// sending records a send to a server.
func (t *timing) sending(now time.Time, m *roster.Member) {
	if t.first.IsZero() {
		t.first = now
	}
	t.last, t.server, t.cold, t.connect, t.pace = now, m, m.ColdLeft(now), 0, 0
}

// observe records the load report of an answer, nil if there was none.
func (t *timing) observe(load *roster.Load) {
	if load != nil {
		t.pace = load.Pace
	}
}

// logAttrs adds the timing of a request that arrived at start to its log line. What took no
// time or is unknown is left out.
func (t *timing) logAttrs(attrs []slog.Attr, start time.Time, at Location) []slog.Attr {
	if t.server == nil {
		return attrs
	}
	attrs = append(attrs, slog.String("zone", string(t.server.Zone)))
	switch {
	case at.Region != "" && t.server.Region != at.Region:
		attrs = append(attrs, slog.String("crossing", "region"))
	case at.Zone != "" && t.server.Zone != at.Zone:
		attrs = append(attrs, slog.String("crossing", "zone"))
	}
	attrs = append(attrs, slog.Duration("waited", t.first.Sub(start)))
	if t.last.After(t.first) {
		attrs = append(attrs, slog.Duration("resending", t.last.Sub(t.first)))
	}
	if t.cold > 0 {
		attrs = append(attrs, slog.Duration("cold", t.cold))
	}
	if t.connect > 0 {
		attrs = append(attrs, slog.Duration("connect", t.connect))
	}
	if t.pace > 0 {
		attrs = append(attrs, slog.Float64("pace", t.pace))
	}
	return attrs
}
