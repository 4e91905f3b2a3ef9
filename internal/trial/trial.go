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

// The trial's schedule, from the start of the load.
const (
	loadTime    = 15 * time.Second
	uploadTime  = 17 * time.Second
	stopAt      = 1 * time.Second
	drainAt     = 2 * time.Second
	publishAt   = 6 * time.Second
	graceTime   = 3 * time.Second
	limitTime   = 29 * time.Second
	pollTime    = 20 * time.Millisecond
	sampleTime  = 500 * time.Millisecond
	streamSalt  = 0x7e57
	uploadSends = 5
	drainLonger = unit.Duration(time.Minute)
)

type (
	// Trial is one run.
	Trial struct {
		// Folder holds the deployment.
		Folder string
		// Seed fixes the times of the requests and the callers' choices.
		Seed uint64
		// Log gets the entries' log lines; nil drops them.
		Log *slog.Logger
		// Progress gets a line for each step; nil for none.
		Progress func(text string)
	}

	// run is the state of a trial under way.
	run struct {
		*Trial
		system   *system
		callers  *callers
		attempts attempts
		begun    time.Time // of the whole trial
		start    time.Time // of the load
		uploads  service.File
		class    *service.Class // of the long uploads
		leaver   *member

		mu       sync.Mutex
		stopping bool
		refused  error // the last refusal of a long upload
		observed Observed
		report   Report
	}
)

// Run runs the trial. The error says why it could not be run; broken promises
// are in the report.
func (t *Trial) Run(ctx context.Context) (*Report, error) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limitTime)
	defer cancel()
	log := t.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	t.progress("starting entries and stand-ins of %s", t.Folder)
	s, err := startSystem(t.Folder, log)
	if err != nil {
		return nil, err
	}
	r := &run{Trial: t, system: s, begun: begun}
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
	if !r.ready(ctx) {
		return eris.Wrap(ctx.Err(), "wait for ready entries")
	}
	r.start = time.Now()
	r.callers.start = r.start
	r.progress("load begins: look-ups, reads, once-only writes, uploads")
	var all sync.WaitGroup
	failed := make(chan error, 4)
	for _, part := range []func(context.Context) error{r.drain, r.stop, r.republish, r.squeeze} {
		all.Go(func() {
			if err := part(ctx); err != nil {
				failed <- err
			}
		})
	}
	sampled, end := context.WithCancel(ctx)
	defer end()
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sample(sampled) })
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

// chooseUploads picks the service with an upload class, and the entry to stop.
func (r *run) chooseUploads() error {
	for _, f := range r.system.fleet.Files {
		for i := range f.Classes {
			if f.Classes[i].Kind == service.Upload {
				r.uploads, r.class = *f, &f.Classes[i]
			}
		}
	}
	if r.class == nil {
		return eris.New("no service has an upload class")
	}
	r.leaver = r.system.entries[len(r.system.entries)-1]
	return nil
}

func (r *run) prepareCallers() {
	all := r.system.entries
	r.callers = &callers{
		http: r.system.client, attempts: &r.attempts, planned: r.planned, rng: rand.New(rand.NewPCG(r.Seed, streamSalt)),
	}
	transport := r.system.transport(r.system.network.DialClient)
	for i, m := range all {
		var seeds []netip.AddrPort
		for j := range all {
			seeds = append(seeds, all[(i+j)%len(all)].entry.Caller)
		}
		r.callers.clients = append(r.callers.clients, &caller.Client{Entries: seeds, Transport: transport})
		if m != r.leaver {
			r.callers.first = append(r.callers.first, m.entry.Caller)
		}
	}
}

// planned tells whether a planned stop of the entry is going on.
func (r *run) planned(entry id.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping && entry == r.leaver.entry.Name
}

// publish submits the service files, with longer drain times, and waits until
// every entry that stays answers with the version.
func (r *run) publish(ctx context.Context, longer unit.Duration) error {
	p := publish.Publisher{Store: &r.system.fleet.Store, Author: "trial"}
	var submission publish.Submission
	for _, f := range r.system.fleet.Files {
		file := *f
		file.DrainTime += longer
		submission.Files = append(submission.Files, file)
	}
	draft, refused := p.Prepare(ctx, submission)
	if refused != nil {
		return eris.Errorf("publish: %s", refused)
	}
	begun := time.Now()
	if outcome := p.Submit(ctx, draft); outcome.Code != result.Accepted {
		return eris.Errorf("publish: %s", outcome)
	}
	seen := Publication{Version: draft.Ticket.Version, Reached: r.everywhere(ctx, draft.Ticket.Version)}
	seen.Everywhere = time.Since(begun).Seconds()
	r.mu.Lock()
	r.observed.Versions = append(r.observed.Versions, seen)
	r.mu.Unlock()
	r.progress("version %d in force everywhere after %.2f s", seen.Version, seen.Everywhere)
	return nil
}

func (r *run) everywhere(ctx context.Context, version id.Version) bool {
	for _, m := range r.system.entries {
		for {
			a, err := r.callers.ask(ctx, m.entry.Caller, r.uploads.Service)
			if err == nil && a.Version >= version || r.planned(m.entry.Name) {
				break
			}
			if !pause(ctx, pollTime) {
				return false
			}
		}
	}
	return true
}

// ready waits until every entry is ready.
func (r *run) ready(ctx context.Context) bool {
	for _, m := range r.system.entries {
		for {
			status, err := m.operate().Status(ctx)
			if err == nil && status.Ready {
				break
			}
			if !pause(ctx, pollTime) {
				return false
			}
		}
	}
	return true
}

func (r *run) republish(ctx context.Context) error {
	if !r.until(ctx, publishAt) {
		return ctx.Err()
	}
	return r.publish(ctx, drainLonger)
}

// until waits for a time of the schedule.
func (r *run) until(ctx context.Context, at time.Duration) bool {
	return pause(ctx, time.Until(r.start.Add(at)))
}

// finish makes the report.
func (r *run) finish() {
	o := &r.observed
	o.Attempts = r.attempts.all
	o.Ran, o.Peaks = r.recorded()
	o.Rises = rises(r.system.fleet, o.Attempts)
	r.report.Deployment, r.report.Seed = r.system.fleet.World.Name, r.Seed
	r.report.Entries, r.report.Servers = len(r.system.entries), len(o.Peaks)
	r.report.Links, r.report.Versions = o.Links, o.Versions
	r.report.Uploads, r.report.Stopped = o.Uploads, o.Stopped
	r.report.Promises = append(Judge(o), judgeServed(r.report.Latency))
	r.report.Took = time.Since(r.begun).Seconds()
}

// slow is a body that is sent over a time.
type slow struct {
	ctx   context.Context
	rest  int64
	chunk int64
	pause time.Duration
}

// Read reads the next part once its time has come.
func (s *slow) Read(p []byte) (int, error) {
	if s.rest == 0 {
		return 0, io.EOF
	}
	if !pause(s.ctx, s.pause) {
		return 0, s.ctx.Err()
	}
	n := min(int64(len(p)), s.chunk, s.rest)
	clear(p[:n])
	s.rest -= n
	return int(n), nil
}
