package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/openloop"
	"github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/internal/standin/fleet"
	"github.com/shallotpier/shallotpier/internal/standin/wan"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Rates of the load by class, in requests per second, and sizes in bytes.
const (
	lookupRate   = unit.Rate(100)
	onceRate     = unit.Rate(10)
	uploadRate   = unit.Rate(1)
	readsPerSlot = 1.0 / 3 // rate of reads for each slot of the service
	onceBytes    = 2 << 10
	smallUpload  = 256 << 10
	// every retryEvery-th at-most-once request is retried after it was served
	retryEvery     = 10
	requestTimeout = 10 * time.Second
	bitsPerByte    = 8
)

// Parameters of the overload of the upload service.
const (
	overloadAt       = 9 * time.Second
	overloadRequests = 120
	overloadDelay    = 700 * time.Millisecond
	overloadDeadline = time.Second
)

// load generates the load of all services and returns when all requests have
// ended.
func (r *run) load(ctx context.Context) {
	var all sync.WaitGroup
	rows := make(chan Latency, 16)
	seed := r.Seed
	start := func(of id.Service, class id.Class, rate unit.Rate, do func(context.Context, int) error) {
		seed++
		l := openloop.Load{Rate: rate, Duration: loadDuration, Seed: seed}
		all.Go(func() {
			result := l.Run(ctx, do)
			rows <- newLatency(of, class, &result)
		})
	}
	for _, f := range r.system.fleet.Files {
		start(f.Service, "lookup", lookupRate, r.lookups(f.Service))
		for i := range f.Classes {
			c := &f.Classes[i]
			start(f.Service, c.Name, rate(f, c), r.requests(f.Service, c))
		}
	}
	go func() {
		all.Wait()
		close(rows)
	}()
	for l := range rows {
		r.report.Latency = append(r.report.Latency, l)
	}
	sort.Slice(r.report.Latency, func(i, j int) bool {
		a, b := &r.report.Latency[i], &r.report.Latency[j]
		return a.Service < b.Service || a.Service == b.Service && a.Class < b.Class
	})
}

func newLatency(of id.Service, class id.Class, result *openloop.Result) Latency {
	l := Latency{Service: of, Class: class, Sent: result.Sent, Failed: result.Failed, Percentiles: result.Percentiles()}
	if result.FirstError != nil {
		l.FirstError = result.FirstError.Error()
	}
	return l
}

func rate(f *service.File, c *service.Class) unit.Rate {
	switch c.Kind {
	case service.Read:
		return unit.Rate(float64(f.Slots()) * readsPerSlot)
	case service.Upload:
		return uploadRate
	default:
		return onceRate
	}
}

// lookups returns a function that sends uncached lookups to the entries in turn.
func (r *run) lookups(of id.Service) func(context.Context, int) error {
	return func(ctx context.Context, n int) error {
		_, err := r.callers.lookupAt(ctx, r.callers.lookupEntries[n%len(r.callers.lookupEntries)], of)
		return err
	}
}

func (r *run) requests(of id.Service, c *service.Class) func(context.Context, int) error {
	return func(ctx context.Context, n int) error {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		q := &request{name: fmt.Sprintf("%s-%s-%d", of, c.Name, n), service: of, class: c, client: n, size: size(c)}
		if q.size > 0 {
			body := make([]byte, q.size)
			q.body = func() io.Reader { return bytes.NewReader(body) }
		}
		if c.Kind == service.Once && n%retryEvery == 0 {
			return r.callers.sendTwice(ctx, q)
		}
		return r.callers.send(ctx, q)
	}
}

// overload delays the answers of the upload service's backend servers for a
// while and sends more requests at once than the servers have slots, with short
// deadlines. Some are rejected, and the evaluation compares those reported as not
// run with the servers' records.
func (r *run) overload(ctx context.Context) error {
	if !r.waitUntil(ctx, overloadAt) {
		return ctx.Err()
	}
	read := r.uploadServiceReadClass()
	if read == nil {
		return nil
	}
	r.progress("sending %d requests at once to %d slots of slowed-down backend servers", overloadRequests, r.uploadService.Slots())
	r.setServerDelay(overloadDelay)
	defer r.setServerDelay(0)
	var all sync.WaitGroup
	for n := range overloadRequests {
		all.Go(func() {
			q := &request{name: fmt.Sprintf("squeeze-%d", n), service: r.uploadService.Service, class: read, client: n, deadline: overloadDeadline}
			// Many are expected to fail; the attempts record the results.
			if e, err := r.callers.chooseEntry(ctx, q); err == nil {
				_, _ = r.callers.sendOnce(ctx, q, 1, e)
			}
		})
	}
	all.Wait()
	return nil
}

func (r *run) uploadServiceReadClass() *service.Class {
	for i := range r.uploadService.Classes {
		if r.uploadService.Classes[i].Kind == service.Read {
			return &r.uploadService.Classes[i]
		}
	}
	return nil
}

func (r *run) setServerDelay(by time.Duration) {
	for i := range r.uploadService.Servers {
		r.system.fleet.Server(r.uploadService.Service, r.uploadService.Servers[i].Name).SetFaults(backend.Faults{ExtraTime: by})
	}
}

func size(c *service.Class) int64 {
	switch c.Kind {
	case service.Read:
		return 0
	case service.Upload:
		return smallUpload
	default:
		return onceBytes
	}
}

// sampleHeadroom measures the use of regions and links until ctx ends.
func (r *run) sampleHeadroom(ctx context.Context) {
	r.report.Regions = regions(r.system.fleet)
	r.observed.Links = links(r.system.fleet)
	sent, at := r.system.network.SentBytes(), time.Now()
	for sleep(ctx, sampleInterval) {
		sampleRegions(r.system.fleet, r.report.Regions)
		now, then := r.system.network.SentBytes(), time.Now()
		for i := range r.observed.Links {
			l := &r.observed.Links[i]
			d := wan.Direction{From: l.From, To: l.To}
			l.Peak = max(l.Peak, float64(now[d]-sent[d])*bitsPerByte/then.Sub(at).Seconds())
			l.Headroom = 1 - l.Peak/l.Budget
		}
		sent, at = now, then
	}
}

func regions(f *fleet.Fleet) []Region {
	var out []Region
	for _, file := range f.Files {
		for _, g := range file.Regions {
			row := Region{Service: file.Service, Region: g.Name, Headroom: 1}
			for i := range file.Servers {
				if in, _ := f.Deployment.Region(file.Servers[i].Zone); in == g.Name {
					row.Slots += file.Servers[i].Slots
				}
			}
			out = append(out, row)
		}
	}
	return out
}

func sampleRegions(f *fleet.Fleet, rows []Region) {
	for i := range rows {
		row := &rows[i]
		used := 0
		for _, s := range f.File(row.Service).Servers {
			if in, _ := f.Deployment.Region(s.Zone); in == row.Region {
				used += f.Server(row.Service, s.Name).Load().Running
			}
		}
		row.Peak = max(row.Peak, used)
		row.Headroom = 1 - float64(row.Peak)/float64(row.Slots)
	}
}

func links(f *fleet.Fleet) []Link {
	var out []Link
	for _, l := range f.Deployment.Links {
		budget := float64(l.Capacity) * l.Share
		for i := range l.Between {
			out = append(out, Link{From: l.Between[i], To: l.Between[1-i], Budget: budget, Headroom: 1})
		}
	}
	return out
}

// readRecords reads the records of the backend server stand-ins: the executions
// by attempt ID and the peak use of each server.
func (r *run) readRecords() (map[string]Executions, []ServerPeak) {
	ran := map[string]Executions{}
	var peaks []ServerPeak
	for _, f := range r.system.fleet.Files {
		for i := range f.Servers {
			s := &f.Servers[i]
			record := r.system.fleet.Server(f.Service, s.Name).Record()
			peaks = append(peaks, ServerPeak{
				Service: f.Service, Server: s.Name, Slots: s.Slots, Running: record.MaxRunning, Overloads: record.Overloads,
				Connections: s.Connections, Open: record.MaxConnections, Refused: record.Refused,
			})
			for attempt, count := range record.Ran {
				e := ran[attempt]
				e.Count += count
				e.Servers = append(e.Servers, s.Name)
				ran[attempt] = e
			}
		}
	}
	return ran, peaks
}

// maxRises returns the largest rise toward each region: the increase of the mean
// rate of requests that ended in two adjacent windows.
func maxRises(f *fleet.Fleet, all []Attempt) []Rise {
	var out []Rise
	for _, file := range f.Files {
		for _, g := range file.Regions {
			var times []time.Duration
			for _, a := range all {
				if a.Service != file.Service || a.Server == "" || a.Code == result.Replayed {
					continue
				}
				if s := file.Server(a.Server); s != nil {
					if in, _ := f.Deployment.Region(s.Zone); in == g.Name {
						times = append(times, a.Ended)
					}
				}
			}
			window := file.ShiftCap.Window.Std()
			out = append(out, Rise{Service: file.Service, Region: g.Name, Cap: float64(file.ShiftCap.Rise), Max: maxRise(times, window)})
		}
	}
	return out
}

// maxRise returns the largest increase of the mean rate from one window to the
// next, in requests per second. The later window begins at one of the times.
func maxRise(times []time.Duration, window time.Duration) float64 {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	within := func(from, to time.Duration) int {
		first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
		last := sort.Search(len(times), func(i int) bool { return times[i] >= to })
		return last - first
	}
	largest := 0
	for _, t := range times {
		largest = max(largest, within(t, t+window)-within(t-window, t))
	}
	return float64(largest) / window.Seconds()
}
