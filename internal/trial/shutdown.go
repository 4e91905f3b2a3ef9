package trial

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	uploadBytes = 8 << 20
	uploadChunk = 32 << 10
)

// upload sends a long upload through an entry. While it is rejected without being
// run, it is retried, for at most uploadAttempts attempts. upload returns whether
// the complete answer was received, and the time of the end.
func (r *run) upload(ctx context.Context, name string, via *runningEntry) (complete bool, ended time.Time) {
	q := &request{
		name: name, service: r.uploadService.Service, class: r.uploadClass, size: uploadBytes,
		body: func() io.Reader {
			parts := time.Duration(uploadBytes / uploadChunk)
			return &throttledBody{ctx: ctx, remaining: uploadBytes, chunk: uploadChunk, interval: uploadDuration / parts}
		},
	}
	e := lookup.Entry{Instance: via.entry.Name, Address: via.entry.Caller}
	for n := 1; ; n++ {
		ran, err := r.callers.sendOnce(ctx, q, n, e)
		if err == nil {
			return true, time.Now()
		}
		r.progress("upload %s: %s", name, err)
		r.mu.Lock()
		r.lastRefusal = err
		r.mu.Unlock()
		if ran != result.No || n == uploadAttempts || !sleep(ctx, sampleInterval) {
			return false, time.Now()
		}
	}
}

// drainServer sends a long upload, drains the backend server that runs it, and
// records the requests that start on the server after the grace period.
func (r *run) drainServer(ctx context.Context) error {
	const name = "upload-drain"
	type end struct {
		complete bool
		at       time.Time
	}
	ended := make(chan end, 1)
	go func() {
		complete, at := r.upload(ctx, name, r.system.entries[0])
		ended <- end{complete, at}
	}()
	server, err := r.awaitServer(ctx, name)
	if err != nil {
		return err
	}
	if !r.waitUntil(ctx, drainAt) {
		return ctx.Err()
	}
	t := operator.Target{Service: r.uploadService.Service, Server: server}
	start := time.Now()
	r.progress("draining %s, which runs a long upload", t.String())
	// The command goes to an entry that doesn't carry the upload, so that the
	// drain has to be propagated between entries.
	if _, err := r.system.entries[1].operatorClient().Drain(ctx, t); err != nil {
		return eris.Wrap(err, "drain")
	}
	sleep(ctx, time.Until(start.Add(gracePeriod)))
	standin := r.system.fleet.Server(t.Service, t.Server)
	before := standin.Record().Started
	r.awaitIdle(ctx, standin, start)
	e := <-ended
	r.waitUntil(ctx, loadDuration)
	r.recordLateRequests(t, standin, before)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.Uploads = append(r.observed.Uploads, LongUpload{
		Via: t.String(), Bytes: uploadBytes, Complete: e.complete, Outlasted: e.at.After(start.Add(gracePeriod)),
	})
	return nil
}

// awaitServer waits until a backend server runs the upload and returns its name.
func (r *run) awaitServer(ctx context.Context, upload string) (id.Server, error) {
	for {
		for i := range r.uploadService.Servers {
			name := r.uploadService.Servers[i].Name
			started := r.system.fleet.Server(r.uploadService.Service, name).Record().Started
			for n := range uploadAttempts {
				if started[fmt.Sprintf("%s.%d", upload, n+1)] > 0 {
					return name, nil
				}
			}
		}
		if !sleep(ctx, pollInterval) {
			r.mu.Lock()
			defer r.mu.Unlock()
			return "", eris.Errorf("long upload reached no backend server; last error: %v", r.lastRefusal)
		}
	}
}

// awaitIdle waits until no request runs on the draining server and records the
// duration of the drain.
func (r *run) awaitIdle(ctx context.Context, standin *backend.Server, start time.Time) {
	for standin.Load().Running > 0 {
		if !sleep(ctx, pollInterval) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Drain.Done, r.report.Drain.Took = true, time.Since(start).Seconds()
}

// recordLateRequests records the requests that started on the draining server
// after the grace period; before holds those that had started by then.
func (r *run) recordLateRequests(t operator.Target, standin *backend.Server, before map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Drain.Service, r.report.Drain.Server = t.Service, t.Server
	r.observed.LateChecked = true
	for attempt, count := range standin.Record().Started {
		if count > before[attempt] {
			r.observed.LateRequests = append(r.observed.LateRequests, attempt)
		}
	}
}

// shutDownEntry sends a long upload through an entry and shuts the entry down
// gracefully during the upload.
func (r *run) shutDownEntry(ctx context.Context) error {
	m := r.shutdownTarget
	type end struct {
		complete bool
		at       time.Time
	}
	ended := make(chan end, 1)
	go func() {
		complete, at := r.upload(ctx, "upload-stop", m)
		ended <- end{complete, at}
	}()
	if !r.waitUntil(ctx, shutdownAt) {
		return ctx.Err()
	}
	r.progress("shutting down %s, which carries a long upload", m.entry.Name)
	start := time.Now()
	r.setShuttingDown(true)
	m.daemon.BeginShutdown()
	refusedSince := r.awaitRefusal(ctx, m)
	e := <-ended
	stopped := Shutdown{Instance: m.entry.Name}
	select {
	case err := <-m.ended:
		m.ended <- err
		stopped.Clean, stopped.Took = err == nil, time.Since(start).Seconds()
	case <-ctx.Done():
	}
	r.setShuttingDown(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.Shutdown = stopped
	r.observed.Uploads = append(r.observed.Uploads, LongUpload{
		Via: "entry " + string(m.entry.Name), Bytes: uploadBytes, Complete: e.complete,
		Outlasted: !refusedSince.IsZero() && e.at.After(refusedSince),
	})
	return nil
}

func (r *run) setShuttingDown(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shuttingDown = on
}

// awaitRefusal waits until the entry rejects new requests and returns that time,
// or the zero time if ctx ended before.
func (r *run) awaitRefusal(ctx context.Context, m *runningEntry) time.Time {
	for {
		var t lookup.Ticket
		err := r.callers.getJSON(ctx, "POST", "http://"+m.entry.Caller.String()+"/v1/ticket/"+string(r.uploadService.Service), &t)
		if err != nil && ctx.Err() == nil {
			return time.Now()
		}
		if !sleep(ctx, sampleInterval) {
			return time.Time{}
		}
	}
}
