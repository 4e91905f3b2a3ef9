package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/result"
)

var (
	start    = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	noProbe  measured.Value[bool]
	noReport measured.Value[health.Report]
)

func TestMaySendBySource(t *testing.T) {
	const stale, future = -time.Minute, time.Minute
	good := health.Report{Slots: 6, Running: 2}
	refusing := health.Report{Slots: 6, Running: 2, Refuses: true}
	probe := func(ok bool, d time.Duration) measured.Value[bool] { return measured.At(ok, start.Add(d)) }
	report := func(r health.Report, d time.Duration) measured.Value[health.Report] {
		return measured.At(r, start.Add(d))
	}
	tests := map[string]struct {
		answered time.Duration // before start; 0 means never
		probe    measured.Value[bool]
		report   measured.Value[health.Report]
		want     health.Verdict
	}{
		"nothing known":                      {0, noProbe, noReport, health.Trial},
		"answer alone":                       {time.Second, noProbe, noReport, health.Yes},
		"old answer alone":                   {time.Minute, noProbe, noReport, health.Trial},
		"good probe alone":                   {0, probe(true, 0), noReport, health.Yes},
		"failed probe alone":                 {0, probe(false, 0), noReport, health.Trial},
		"failed probe newer than the answer": {time.Second, probe(false, 0), noReport, health.Trial},
		"failed probe older than the answer": {time.Second, probe(false, -2*time.Second), noReport, health.Yes},
		"stale good probe":                   {0, probe(true, stale), noReport, health.Trial},
		"stale failed probe":                 {time.Second, probe(false, stale), noReport, health.Yes},
		"good probe from the future":         {0, probe(true, future), noReport, health.Trial},
		"failed probe from the future":       {time.Second, probe(false, future), noReport, health.Yes},
		"report alone":                       {0, noProbe, report(good, 0), health.Yes},
		"report refuses":                     {time.Second, probe(true, 0), report(refusing, 0), health.No},
		"stale report refuses":               {time.Second, noProbe, report(refusing, stale), health.Yes},
		"future report refuses":              {time.Second, noProbe, report(refusing, future), health.Yes},
		"stale report alone":                 {0, noProbe, report(good, stale), health.Trial},
		"negative report alone":              {0, noProbe, report(health.Report{Slots: 6, Running: -1}, 0), health.Trial},
		"out-of-range report alone":          {0, noProbe, report(health.Report{Slots: 6, Running: 1 << 40}, 0), health.Trial},
		"out-of-range report refuses":        {time.Second, noProbe, report(health.Report{Slots: -6, Refuses: true}, 0), health.Yes},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker health.Tracker
			if tt.answered > 0 {
				tracker.Observe(start.Add(-tt.answered), health.Answered)
			}
			got, _ := tracker.MaySend(start, tt.probe, tt.report)
			is.Equal(got, tt.want)
		})
	}
}

func TestMaySendAfterEvents(t *testing.T) {
	tests := map[string]struct {
		events []health.Event
		want   health.Verdict
	}{
		"one failure":               {[]health.Event{health.ConnectFailed}, health.Yes},
		"two failures":              {[]health.Event{health.ConnectFailed, health.ConnectionClosed}, health.No},
		"failures around an answer": {[]health.Event{health.ConnectionClosed, health.Answered, health.ConnectionClosed}, health.Yes},
		"shed":                      {[]health.Event{health.Shed}, health.No},
		"shed and then an answer":   {[]health.Event{health.Shed, health.Answered}, health.No}, // the answer is to an earlier request
		"stalled":                   {[]health.Event{health.TimedOut}, health.Trial},
		"stalled, then answered":    {[]health.Event{health.TimedOut, health.Answered}, health.Yes},
		"caller disconnected":       {[]health.Event{health.Neutral}, health.Yes},
		"unknown event":             {[]health.Event{health.Event(99)}, health.Yes},
		"two failures, late answer": {[]health.Event{health.ConnectionClosed, health.ConnectionClosed, health.Answered}, health.No}, // the backoff stays
		"stalled, then no result":   {[]health.Event{health.TimedOut, health.Neutral}, health.Trial},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tracker health.Tracker
			tracker.Observe(start, health.Answered)
			now := start
			for _, e := range tt.events {
				now = now.Add(10 * time.Millisecond)
				tracker.Observe(now, e)
			}
			got, _ := tracker.MaySend(now, noProbe, noReport)
			is.Equal(got, tt.want)
		})
	}
}

// An ejected server gets single trial requests with increasing backoff, regardless of
// its probe, and normal traffic after the first answer.
func TestEjectedServerRecoversByTrial(t *testing.T) {
	is := is.New(t)
	var tracker health.Tracker
	now := start
	tracker.Observe(now, health.ConnectFailed)
	tracker.Observe(now, health.ConnectFailed)
	for _, wait := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		v, retryAfter := tracker.MaySend(now, measured.At(true, now), noReport)
		is.Equal(v, health.No)
		is.Equal(retryAfter, wait*time.Second)
		now = now.Add(retryAfter)
		v, _ = tracker.MaySend(now, measured.At(true, now), noReport)
		is.Equal(v, health.Trial)
		tracker.BeginTrial(now)
		v, _ = tracker.MaySend(now, measured.At(true, now), noReport)
		is.Equal(v, health.No) // a trial is running
		tracker.Observe(now, health.ConnectionClosed)
	}
	now = now.Add(time.Minute)
	tracker.BeginTrial(now)
	v, _ := tracker.MaySend(now.Add(time.Minute), noProbe, noReport)
	is.Equal(v, health.Trial) // a trial without a result times out
	tracker.Observe(now, health.Answered)
	v, _ = tracker.MaySend(now, noProbe, noReport)
	is.Equal(v, health.Yes)
}

func TestEventOfMapsResultCodes(t *testing.T) {
	is := is.New(t)
	is.Equal(health.EventOf(result.ConnectFailed), health.ConnectFailed)
	is.Equal(health.EventOf(result.ShedByServer), health.Shed)
	is.Equal(health.EventOf(result.AnswerCut), health.ConnectionClosed)
	is.Equal(health.EventOf(result.ConnectionSilent), health.TimedOut)
	is.Equal(health.EventOf(result.AnswerLate), health.TimedOut)
	is.Equal(health.EventOf(result.Served), health.Answered)
	for _, code := range []result.Code{result.CallerGone, result.DeadlinePassed, result.Quarantined, 0, -1} {
		is.Equal(health.EventOf(code), health.Neutral)
	}
}

// No sequence of events ejects a server permanently.
func TestServerIsNeverEjectedPermanently(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker health.Tracker
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "trial") == 0 {
				tracker.BeginTrial(now)
			}
			tracker.Observe(now, health.Event(rapid.IntRange(0, 6).Draw(t, "event")))
		}
		now = now.Add(time.Minute)
		if v, _ := tracker.MaySend(now, noProbe, noReport); v == health.No {
			t.Fatal("still ejected after a minute without events")
		}
	})
}

func BenchmarkMaySend(b *testing.B) {
	var tracker health.Tracker
	tracker.Observe(start, health.Answered)
	probe := measured.At(true, start)
	report := measured.At(health.Report{Slots: 6}, start)
	b.ReportAllocs()
	for b.Loop() {
		tracker.MaySend(start, probe, report)
	}
}

// A server on trial is ejected by a single failure.
func TestFailedTrialEjectsServer(t *testing.T) {
	is := is.New(t)
	var tracker health.Tracker // no information: trial
	tracker.BeginTrial(start)
	tracker.Observe(start, health.ConnectFailed)
	v, _ := tracker.MaySend(start, measured.At(true, start), noReport)
	is.Equal(v, health.No)
}

// A trial without a result, as when its caller disconnected, allows another trial.
func TestTrialWithoutResultAllowsAnother(t *testing.T) {
	is := is.New(t)
	var tracker health.Tracker
	tracker.BeginTrial(start)
	v, _ := tracker.MaySend(start, noProbe, noReport)
	is.Equal(v, health.No)
	tracker.Observe(start, health.Neutral)
	v, _ = tracker.MaySend(start, noProbe, noReport)
	is.Equal(v, health.Trial)
}
