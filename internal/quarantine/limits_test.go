package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// newList returns a list as entries that tolerate two crashes use it.
func newList(instance id.Instance) *quarantine.List {
	return &quarantine.List{Instance: instance, Tolerated: 2}
}

// crash records the crash of a server by a request.
func crash(l *quarantine.List, at time.Time, fp quarantine.Fingerprint, send int) quarantine.CrashReport {
	return l.RecordCrash(at, fp, quarantine.Origin{Send: fmt.Sprintf("%s-%d", l.Instance, send), Began: at.Add(-time.Millisecond)})
}

// other returns the fingerprint of one of many other requests.
func other(n int) quarantine.Fingerprint {
	return quarantine.Fingerprint{2, byte(n >> 16), byte(n >> 8), byte(n)}
}

// A request that has crashed three servers must be refused by an entry that was not there,
// also if a crash of many servers has cut more requests than entries exchange afterwards.
func TestQuarantineIsExchangedBesideManyOthers(t *testing.T) {
	for _, others := range []int{quarantine.MaxExchanged - 3, quarantine.MaxExchanged} {
		t.Run(fmt.Sprintf("%d others", others), func(t *testing.T) {
			is := is.New(t)
			a, b, fp, now := newList("entry-1"), newList("entry-2"), quarantine.Fingerprint{1}, start()
			for n := range 3 {
				now = now.Add(time.Second)
				crash(a, now, fp, n)
			}
			is.True(a.Check(now, fp).Refused)
			now = now.Add(time.Second)
			for n := range others {
				crash(a, now, other(n), n)
			}
			for _, r := range a.Missing(now, b.ReportIDs(now), quarantine.MaxExchanged) {
				b.Apply(now, r)
			}
			is.Equal(a.Digest(now), b.Digest(now))
			is.True(b.Check(now, fp).Refused)
		})
	}
}

// A request that has crashed three servers must still be refused after more requests than
// the list holds have been cut once each.
func TestQuarantineIsNotEvictedByOthers(t *testing.T) {
	is := is.New(t)
	l, fp, now := newList("entry-1"), quarantine.Fingerprint{1}, start()
	l.MaxFingerprints = 100
	for n := range 3 {
		now = now.Add(time.Millisecond) // one after the other
		crash(l, now, fp, n)
	}
	for n := range l.MaxFingerprints {
		now = now.Add(time.Millisecond)
		crash(l, now, other(n), n)
	}
	is.True(l.Check(now, fp).Refused)
}

// Entries that receive more reports of one request than count, and a lift, must agree
// whichever comes first.
func TestLiftAmongMoreReportsThanCount(t *testing.T) {
	is := is.New(t)
	a, b, fp, now := newList("entry-1"), newList("entry-2"), quarantine.Fingerprint{1}, start()
	source := newList("entry-3")
	var reports []quarantine.CrashReport
	for n := range 17 {
		reports = append(reports, crash(source, now.Add(time.Duration(n)*time.Second), fp, n))
	}
	lift := quarantine.CrashReport{Fingerprint: fp, Instance: "entry-3", At: now.Add(14 * time.Second), Lifted: true}
	now = now.Add(time.Minute)
	for _, r := range reports {
		a.Apply(now, r)
	}
	a.Apply(now, lift)
	b.Apply(now, lift)
	for _, r := range reports {
		b.Apply(now, r)
	}
	is.Equal(a.Crashes(now, fp), b.Crashes(now, fp))
}

// A success must clear the crashes that were recorded before it, also if the clock of the
// entry that recorded them is up to two seconds ahead.
func TestSuccessClearsReportsOfEntryWithClockAhead(t *testing.T) {
	is := is.New(t)
	l, fp, now := newList("entry-1"), quarantine.Fingerprint{1}, start()
	l.Apply(now, quarantine.CrashReport{Fingerprint: fp, Send: "a", Instance: "entry-2", At: now.Add(2 * time.Second)})
	now = now.Add(time.Second)
	_, cleared := l.Clear(now, fp)
	is.True(cleared)
	is.Equal(l.Crashes(now, fp), 0)
}

// A crash must count although another entry, whose clock is up to two seconds ahead, has
// cleared earlier crashes just before.
func TestCrashCountsAfterLiftOfEntryWithClockAhead(t *testing.T) {
	is := is.New(t)
	l, fp, now := newList("entry-1"), quarantine.Fingerprint{1}, start()
	l.Apply(now, quarantine.CrashReport{Fingerprint: fp, Instance: "entry-2", At: now.Add(2 * time.Second), Lifted: true})
	for n := range 3 {
		crash(l, now.Add(time.Duration(n+1)*500*time.Millisecond), fp, n)
	}
	is.True(l.Check(now.Add(2*time.Second), fp).Refused)
}

// A frequent request that ran on three servers that stopped at once, and is then answered
// by another one, must not be refused any longer.
func TestSuccessEndsQuarantineOfConcurrentSends(t *testing.T) {
	is := is.New(t)
	l, fp, now := newList("entry-1"), quarantine.Fingerprint{1}, start()
	for n := range 3 {
		crash(l, now.Add(time.Duration(n)*time.Millisecond), fp, n)
	}
	now = now.Add(100 * time.Millisecond)
	l.Clear(now, fp) // a fourth copy was under way
	is.True(!l.Check(now, fp).Refused)
}
