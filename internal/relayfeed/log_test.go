package relayfeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func version(r store.Revision) store.Version { return store.Version{Revision: r} }

func put(key string, r store.Revision) store.Change {
	return store.Change{Object: store.Object{Key: key, Version: version(r)}}
}

// remove returns a removal, which has the version of the removed object.
func remove(key string, r store.Revision) store.Change {
	return store.Change{Object: store.Object{Key: key, Version: version(r)}, Removed: true}
}

// A Log must return all changes after a version, or tell that it doesn't have them all: an
// entry that misses one keeps a state that is wrong until its next list.
func TestLog(t *testing.T) {
	record := func(l *Log) {
		l.RecordList([]store.Object{{Key: "a", Version: version(3)}, {Key: "b", Version: version(4)}}, version(10), follow.Origin{})
		l.RecordChanges([]store.Change{put("c", 12), remove("a", 3), put("b", 14)}, version(15), follow.Origin{Latest: version(14)})
		l.RecordChanges(nil, version(20), follow.Origin{Latest: version(14)})
		l.RecordChanges([]store.Change{remove("c", 12)}, version(25), follow.Origin{Latest: version(25)})
		time.Sleep(settleTime)
	}
	tests := map[string]struct {
		do     func(l *Log)
		after  store.Version
		status status
		want   string
	}{
		"all changes":                    {func(*Log) {}, version(10), answered, "+c -a +b -c"},
		"from within an answer":          {func(*Log) {}, version(12), answered, "-a +b -c"},
		"removals are repeated":          {func(*Log) {}, version(13), answered, "-a +b -c"},
		"from the end of an answer":      {func(*Log) {}, version(15), answered, "-c"},
		"from an answer without changes": {func(*Log) {}, version(22), answered, "-c"},
		"nothing new":                    {func(*Log) {}, version(25), answered, ""},
		"before the list":                {func(*Log) {}, version(9), compacted, ""},
		"later than this entry":          {func(*Log) {}, version(26), behind, ""},
		"another era":                    {func(*Log) {}, store.Version{Era: 1, Revision: 12}, otherEra, ""},
		"store fails":                    {func(l *Log) { l.RecordFailure() }, version(10), unavailable, ""},
		"through another entry":          {func(l *Log) { l.RecordChanges(nil, version(25), follow.Origin{Entry: "e"}) }, version(10), indirect, ""},
		"by itself again": {func(l *Log) {
			l.RecordChanges(nil, version(25), follow.Origin{Entry: "e"})
			l.RecordChanges(nil, version(25), follow.Origin{})
		}, version(10), answered, "+c -a +b -c"},
		"after an outage": {func(l *Log) { l.RecordFailure(); l.RecordChanges(nil, version(25), follow.Origin{}) }, version(10), settling, ""},
		"a while after an outage": {func(l *Log) {
			l.RecordFailure()
			l.RecordChanges(nil, version(25), follow.Origin{})
			time.Sleep(settleTime)
		}, version(10), answered, "+c -a +b -c"},
		"after a list that replaced it all": {func(l *Log) { l.RecordList(nil, version(30), follow.Origin{}) }, version(25), compacted, ""},
		"after a restore": {func(l *Log) {
			l.RecordList(nil, store.Version{Era: 1, Revision: 5}, follow.Origin{})
		}, version(25), settling, ""},
		"after many changes": {func(l *Log) {
			for i := range store.Revision(maxChanges) {
				l.RecordChanges([]store.Change{put("d", 30+i)}, version(30+i), follow.Origin{})
			}
		}, version(24), compacted, ""},
		"after large changes": {func(l *Log) {
			for i := range store.Revision(3) {
				c := put("d", 30+i)
				c.Value = make([]byte, maxBytes/2)
				l.RecordChanges([]store.Change{c}, version(30+i), follow.Origin{})
			}
		}, version(29), compacted, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := &Log{}
				is.Equal(l.after(time.Now(), version(0)).Status, unavailable) // nothing known yet
				record(l)
				tt.do(l)
				a := l.after(time.Now(), tt.after)
				is.Equal(a.Status, tt.status)
				is.Equal(words(a), tt.want)
			})
		})
	}
}

// A list must hold what the store had as of its version.
func TestLogList(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Log{}
		l.RecordList([]store.Object{{Key: "b", Version: version(4)}, {Key: "a", Version: version(3)}}, version(10), follow.Origin{})
		l.RecordChanges([]store.Change{put("c", 12), remove("b", 4)}, version(15), follow.Origin{Latest: version(15)})
		is.Equal(l.list(time.Now()).Status, settling)
		time.Sleep(settleTime)
		a := l.list(time.Now())
		is.Equal(words(a), "+a +c")
		is.Equal(a.Version, version(15))
		is.Equal(a.Latest, version(15))
		is.Equal(a.Age, settleTime)
	})
}

func words(a *answer) string {
	out := ""
	for _, c := range a.Changes {
		sign := " +"
		if c.Removed {
			sign = " -"
		}
		out += sign + c.Key
	}
	if out == "" {
		return ""
	}
	return out[1:]
}

// A leader must not be asked while it is silent or after a failure, and the holds must
// grow: entries that come back at once would all leave it at once again.
func TestSelector(t *testing.T) {
	start := time.Now()
	leader := func(silent time.Duration) []Leader { return []Leader{{Instance: "l", Incarnation: 1, Silent: silent}} }
	s := &selector{self: "e", maxSilence: time.Second, draw: func(d time.Duration) time.Duration { return d / 2 }}
	at := func(d time.Duration, leaders []Leader) bool {
		s.observe(start.Add(d), leaders)
		_, _, ok := s.pick(start.Add(d))
		return ok
	}
	is := is.New(t)
	is.True(!at(0, leader(0)))
	is.True(!at(minStay, leader(0))) // spread at random
	now := 2 * minStay
	is.True(at(now, leader(0)))
	is.True(!at(now, leader(2*time.Second))) // silent
	is.True(at(now, leader(0)))
	for hold := minHold; hold < 20*time.Second; hold *= 2 {
		is.Equal(s.fail(start.Add(now), "l", false), hold*3/2)
		is.True(!at(now+hold, leader(0)))
		now += 2 * hold
		is.True(at(now, leader(0)))
	}
	is.Equal(s.pause(start.Add(now), "l"), minHold*3/2) // doesn't grow
	is.True(!at(now+minHold, leader(0)))
	is.Equal(s.fail(start.Add(now), "l", true), maxHold*3/2) // older build
	now += 2*maxHold + forgetTime
	is.True(at(now, leader(0)))
	s.succeed(start.Add(now), "l")
	is.Equal(s.fail(start.Add(now), "l", false), minHold*3/2)                               // earlier failures are forgotten
	is.True(!at(now, []Leader{{Instance: "l", Incarnation: 2}}))                            // restarted
	is.True(at(now+2*minStay, []Leader{{Instance: "l", Incarnation: 2}}))                   // has stayed
	is.True(!at(now+2*minStay, nil))                                                        // no leader any more
	is.True(!at(now+2*minStay+time.Millisecond, []Leader{{Instance: "l", Incarnation: 2}})) // a leader again
}

// The entries of a zone must spread over its leaders.
func TestSelectorSpreads(t *testing.T) {
	is := is.New(t)
	count := map[id.Instance]int{}
	now := time.Now()
	for i := range 100 {
		s := &selector{self: id.Instance(fmt.Sprintf("e-%d", i)), maxSilence: time.Second, draw: func(time.Duration) time.Duration { return 0 }}
		leaders := []Leader{{Instance: "a"}, {Instance: "b"}}
		s.observe(now, leaders)
		s.observe(now.Add(minStay), leaders)
		leader, _, ok := s.pick(now.Add(minStay))
		is.True(ok)
		count[leader]++
	}
	is.True(count["a"] > 30 && count["b"] > 30)
}
