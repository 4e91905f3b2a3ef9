package trial

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/pkg/caller"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Schedule and parameters of a trial. Names that end in At are times since the
// start of the load.
const (
	loadDuration   = 15 * time.Second
	uploadDuration = 17 * time.Second
	shutdownAt     = 1 * time.Second
	drainAt        = 2 * time.Second
	publishAt      = 6 * time.Second
	gracePeriod    = 3 * time.Second
	trialTimeout   = 29 * time.Second
	pollInterval   = 20 * time.Millisecond
	sampleInterval = 500 * time.Millisecond
	rngStream      = 0x7e57 // PCG stream of the callers' choices
	uploadAttempts = 5
	addedDrainTime = unit.Duration(time.Minute)
)

type (
	// Trial is a trial of one deployment.
	Trial struct {
		// Folder is the folder of the deployment's files.
		Folder string
		// Seed determines the times of the requests and the callers' choices.
		Seed uint64
		// Log receives the entries' log lines; nil discards them.
		Log *slog.Logger
		// Progress is called with one line of text for each step; it may be nil.
		Progress func(text string)
	}

	// run is the state of a trial in progress.
	run struct {
		*Trial
		system         *system
		callers        *callers
		attempts       attempts
		began          time.Time // start of the trial
		loadStart      time.Time // start of the load
		uploadService  service.File
		uploadClass    *service.Class // class of the long uploads
		shutdownTarget *runningEntry

		mu           sync.Mutex
		shuttingDown bool
		lastRefusal  error // last error of a long upload
		observed     Observed
		report       Report
	}
)

// Run runs the trial, for at most 29 s. It returns an error if the trial could not
// be completed; broken promises are in the report.
func (t *Trial) Run(ctx context.Context) (*Report, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	log := t.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	t.progress("starting the entries and stand-ins of %s", t.Folder)
	s, err := startSystem(t.Folder, log)
	if err != nil {
		return nil, err
	}
	r := &run{Trial: t, system: s, began: start}
	err = r.run(ctx)
	if closing := s.close(); err == nil && closing != nil {
		err = closing
	}
	if err != nil {
		return nil, err
	}
	r.finish()
	return &r.report, nil
}

func (t *Trial) progress(format string, args ...any) {
	if t.Progress != nil {
		t.Progress(fmt.Sprintf(format, args...))
	}
}

func (r *run) run(ctx context.Context) error {
	if err := r.chooseUploads(); err != nil {
		return err
	}
	r.prepareCallers()
	if err := r.publish(ctx, 0); err != nil {
		return err
	}
	if !r.awaitReady(ctx) {
		return eris.Wrap(ctx.Err(), "wait for entries to become ready")
	}
	r.loadStart = time.Now()
	r.callers.start = r.loadStart
	r.progress("starting load: lookups, reads, at-most-once writes, uploads")
	var all sync.WaitGroup
	failed := make(chan error, 4)
	for _, part := range []func(context.Context) error{r.drainServer, r.shutDownEntry, r.republish, r.overload} {
		all.Go(func() {
			if err := part(ctx); err != nil {
				failed <- err
			}
		})
	}
	sampled, end := context.WithCancel(ctx)
	defer end()
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sampleHeadroom(sampled) })
	r.load(ctx)
	all.Wait()
	end()
	sampler.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return ctx.Err()
	}
}

// chooseUploads picks the service with an upload class and the entry to shut
// down.
func (r *run) chooseUploads() error {
	for _, f := range r.system.fleet.Files {
		for i := range f.Classes {
			if f.Classes[i].Kind == service.Upload {
				r.uploadService, r.uploadClass = *f, &f.Classes[i]
			}
		}
	}
	if r.uploadClass == nil {
		return eris.New("no service has an upload class")
	}
	r.shutdownTarget = r.system.entries[len(r.system.entries)-1]
	return nil
}

func (r *run) prepareCallers() {
	all := r.system.entries
	r.callers = &callers{
		http: r.system.client, attempts: &r.attempts, shuttingDown: r.isShuttingDown, rng: rand.New(rand.NewPCG(r.Seed, rngStream)),
	}
	transport := r.system.transport(r.system.network.DialClient)
	for i, m := range all {
		var seeds []netip.AddrPort
		for j := range all {
			seeds = append(seeds, all[(i+j)%len(all)].entry.Caller)
		}
		r.callers.clients = append(r.callers.clients, &caller.Client{Entries: seeds, Transport: transport})
		if m != r.shutdownTarget {
			r.callers.lookupEntries = append(r.callers.lookupEntries, m.entry.Caller)
		}
	}
}

// isShuttingDown reports whether the entry is in graceful shutdown.
func (r *run) isShuttingDown(entry id.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shuttingDown && entry == r.shutdownTarget.entry.Name
}

// publish submits the service files with their drain times extended, and waits
// until all entries that aren't shutting down answer with the new version.
func (r *run) publish(ctx context.Context, extra unit.Duration) error {
	p := publish.Publisher{Store: &r.system.fleet.Store, Author: "trial"}
	var submission publish.Submission
	for _, f := range r.system.fleet.Files {
		file := *f
		file.DrainTime += extra
		submission.Files = append(submission.Files, file)
	}
	draft, refused := p.Prepare(ctx, submission)
	if refused != nil {
		return eris.Errorf("publish: %s", refused)
	}
	start := time.Now()
	if outcome := p.Submit(ctx, draft); outcome.Code != result.Accepted {
		return eris.Errorf("publish: %s", outcome)
	}
	seen := Publication{Version: draft.Ticket.Version, Complete: r.awaitVersion(ctx, draft.Ticket.Version)}
	seen.RolloutSeconds = time.Since(start).Seconds()
	r.mu.Lock()
	r.observed.Versions = append(r.observed.Versions, seen)
	r.mu.Unlock()
	r.progress("version %d active at all entries after %.2f s", seen.Version, seen.RolloutSeconds)
	return nil
}

// awaitVersion waits until all entries that aren't shutting down answer with the
// version, and reports whether they did before ctx ended.
func (r *run) awaitVersion(ctx context.Context, version id.Version) bool {
	for _, m := range r.system.entries {
		for {
			a, err := r.callers.lookupAt(ctx, m.entry.Caller, r.uploadService.Service)
			if err == nil && a.Version >= version || r.isShuttingDown(m.entry.Name) {
				break
			}
			if !sleep(ctx, pollInterval) {
				return false
			}
		}
	}
	return true
}

// awaitReady waits until all entries are ready and reports whether they were
// before ctx ended.
func (r *run) awaitReady(ctx context.Context) bool {
	for _, m := range r.system.entries {
		for {
			status, err := m.operatorClient().Status(ctx)
			if err == nil && status.Ready {
				break
			}
			if !sleep(ctx, pollInterval) {
				return false
			}
		}
	}
	return true
}

func (r *run) republish(ctx context.Context) error {
	if !r.waitUntil(ctx, publishAt) {
		return ctx.Err()
	}
	return r.publish(ctx, addedDrainTime)
}

// waitUntil waits for a point in time of the schedule and reports whether it came
// before ctx ended.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	return sleep(ctx, time.Until(r.loadStart.Add(at)))
}

// finish evaluates the observations and completes the report.
func (r *run) finish() {
	o := &r.observed
	o.Attempts = r.attempts.all
	o.Executions, o.ServerPeaks = r.readRecords()
	o.Rises = maxRises(r.system.fleet, o.Attempts)
	r.report.Deployment, r.report.Seed = r.system.fleet.Deployment.Name, r.Seed
	r.report.Entries, r.report.Servers = len(r.system.entries), len(o.ServerPeaks)
	r.report.Links, r.report.Versions = o.Links, o.Versions
	r.report.Uploads, r.report.Shutdown = o.Uploads, o.Shutdown
	r.report.Promises = append(Evaluate(o), evaluateServed(r.report.Latency))
	r.report.Took = time.Since(r.began).Seconds()
}

// throttledBody is a request body of zeros that is sent in chunks at a fixed
// interval.
type throttledBody struct {
	ctx       context.Context
	remaining int64
	chunk     int64
	interval  time.Duration
}

// Read waits for the interval and reads the next chunk.
func (b *throttledBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if !sleep(b.ctx, b.interval) {
		return 0, b.ctx.Err()
	}
	n := min(int64(len(p)), b.chunk, b.remaining)
	clear(p[:n])
	b.remaining -= n
	return int(n), nil
}
