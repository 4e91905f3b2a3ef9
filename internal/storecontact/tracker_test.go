package storecontact_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/storecontact"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Guards against a store that counts as silent because an older answer was heard of later, and
// against one that counts as heard before its first answer or during a suspension.
func TestAgeOfTheLatestAnswer(t *testing.T) {
	type step struct{ passed, observed time.Duration } // observed is an age
	const none = -time.Hour                            // nothing observed
	tests := map[string]struct {
		steps []step
		known bool
		want  time.Duration
	}{
		"no answer yet":             {[]step{{time.Minute, none}}, false, 0},
		"first answer":              {[]step{{0, 3 * time.Second}}, true, 3 * time.Second},
		"answer before the boot":    {[]step{{0, 2 * time.Hour}}, true, 2 * time.Hour},
		"older answer heard later":  {[]step{{0, time.Second}, {time.Second, time.Minute}}, true, 2 * time.Second},
		"newer answer heard later":  {[]step{{0, time.Minute}, {time.Second, time.Second}}, true, time.Second},
		"age below 0":               {[]step{{0, -time.Second}, {time.Second, none}}, true, time.Second},
		"time of a suspension":      {[]step{{0, time.Second}, {10 * time.Hour, none}}, true, 10*time.Hour + time.Second},
		"answer after a suspension": {[]step{{0, time.Second}, {10 * time.Hour, time.Second}}, true, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boot := boottime.Instant(time.Hour)
			tracker := &storecontact.Tracker{Clock: func() boottime.Instant { return boot }}
			for _, s := range tt.steps {
				boot = boot.Add(s.passed)
				if s.observed != none {
					tracker.Observe(s.observed)
				}
			}
			age, known := tracker.Age()
			is.Equal(known, tt.known)
			is.Equal(age, tt.want)
		})
	}
}

// Guards against an answer that gets younger while entries tell each other of it, by the time that
// heartbeats take or by the time for which a paused entry leaves them unread.
func TestAgeAmongEntries(t *testing.T) {
	const answer = 100 * time.Millisecond
	tests := map[string]struct {
		delay  time.Duration // of heartbeats
		paused time.Duration // of entry 2, in which heartbeats to it wait
		more   bool          // entry 3 has answers all the time
		most   time.Duration // by which the age may be wrong
	}{
		"quick heartbeats": {time.Millisecond, 0, false, 10 * time.Millisecond},
		"slow heartbeats":  {100 * time.Millisecond, 0, false, 400 * time.Millisecond},
		"paused entry":     {10 * time.Millisecond, 4 * time.Second, false, 100 * time.Millisecond},
		"other answers":    {10 * time.Millisecond, 4 * time.Second, true, 600 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Duration(0)
			var trackers [4]*storecontact.Tracker
			type heartbeat struct {
				at       time.Duration
				from, to int
				report   *storecontact.Report
			}
			var sent []heartbeat
			for i := range trackers {
				boot := time.Duration(i) * time.Hour
				trackers[i] = &storecontact.Tracker{Self: peer.Sender{Instance: id.Instance(rune('a' + i))}, Clock: func() boottime.Instant { return boottime.Instant(boot + now) }}
			}
			pausedFrom := 10 * time.Second
			for ; now < 20*time.Second; now += 10 * time.Millisecond {
				paused := now >= pausedFrom && now < pausedFrom+tt.paused
				if now < 10*time.Second && now%time.Second == 0 || tt.more && now%time.Second == 0 {
					trackers[3].Observe(answer)
				}
				for from := range trackers {
					if now%(500*time.Millisecond) != 0 || paused && from == 2 {
						continue
					}
					for to := range trackers {
						if to != from {
							sent = append(sent, heartbeat{now + tt.delay, from, to, trackers[from].Report(from == 1, from != 1)})
						}
					}
				}
				sent = slices.DeleteFunc(sent, func(h heartbeat) bool {
					if h.at > now || paused && h.to == 2 {
						return false
					}
					trackers[h.to].Receive(peer.Sender{Instance: id.Instance(rune('a' + h.from))}, h.report)
					return true
				})
			}
			latest := 9*time.Second - answer
			if tt.more {
				latest = 19*time.Second - answer
			}
			for i, tracker := range trackers {
				age, known := tracker.Age()
				is.True(known)
				if off := now - latest - age; off < 0 || off > tt.most {
					t.Errorf("entry %d: age %v of an answer at %v, now %v", i, age, latest, now)
				}
				is.Equal(tracker.OthersFail(), i != 1)
				is.Equal(tracker.Declines(peer.Sender{Instance: "b"}), i != 1)
			}
		})
	}
}

// Guards against a report that is overtaken by a later one of the same entry and replaces it.
func TestReportsOutOfOrder(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	clock := func() boottime.Instant { return boottime.Instant(now) }
	sender, tracker := &storecontact.Tracker{Clock: clock}, &storecontact.Tracker{Clock: clock}
	from := peer.Sender{Instance: "a"}
	earlier := sender.Report(false, true)
	now += 5 * time.Millisecond
	later := sender.Report(true, false)
	tracker.Receive(from, later)
	tracker.Receive(from, earlier)
	is.True(tracker.OthersFail())
	is.True(tracker.Declines(from))
	now += 500 * time.Millisecond
	tracker.Receive(from, sender.Report(false, true))
	is.True(!tracker.OthersFail())
	is.True(!tracker.Declines(from))
}
