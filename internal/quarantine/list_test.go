package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func start() time.Time { return time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC) }

func TestCheckAfterReports(t *testing.T) {
	fp := quarantine.Fingerprint{1}
	now := start()
	own := quarantine.CrashReport{Fingerprint: fp, Instance: "entry-1", Send: "a", At: now}
	foreign := quarantine.CrashReport{Fingerprint: fp, Instance: "entry-2", Send: "a", At: now}
	second := quarantine.CrashReport{Fingerprint: fp, Instance: "entry-3", Send: "b", Began: now.Add(1), At: now.Add(2)}
	together := quarantine.CrashReport{Fingerprint: fp, Instance: "entry-3", Send: "c", Began: now.Add(-time.Second), At: now.Add(2)}
	lifted := quarantine.CrashReport{Fingerprint: fp, Instance: "entry-3", Lifted: true, At: now.Add(time.Second)}
	future := quarantine.CrashReport{Fingerprint: fp, Instance: "entry-3", Send: "c", At: now.Add(time.Hour)}
	tests := map[string]struct {
		reports []quarantine.CrashReport
		after   time.Duration
		running bool
		want    quarantine.Verdict
	}{
		"unknown":                              {},
		"own first crash":                      {reports: []quarantine.CrashReport{own}, want: quarantine.Verdict{Probation: true}},
		"own first crash, one send is running": {reports: []quarantine.CrashReport{own}, running: true, want: quarantine.Verdict{Refused: true, RetryAfter: time.Second}},
		"another's first crash":                {reports: []quarantine.CrashReport{foreign}, after: 10 * time.Second, want: quarantine.Verdict{Refused: true, RetryAfter: 20 * time.Second}},
		"another's hold has expired":           {reports: []quarantine.CrashReport{foreign}, after: 30 * time.Second, want: quarantine.Verdict{Probation: true}},
		"two crashes":                          {reports: []quarantine.CrashReport{own, second}, after: time.Minute, want: quarantine.Verdict{Refused: true, RetryAfter: 29*time.Minute + 2}},
		"two by concurrent sends":              {reports: []quarantine.CrashReport{own, together}, after: time.Minute, want: quarantine.Verdict{Probation: true}},
		"two, the later received first":        {reports: []quarantine.CrashReport{second, own}, after: time.Minute, want: quarantine.Verdict{Refused: true, RetryAfter: 29*time.Minute + 2}},
		"the same report twice":                {reports: []quarantine.CrashReport{own, own}, want: quarantine.Verdict{Probation: true}},
		"expired":                              {reports: []quarantine.CrashReport{own, second}, after: 30*time.Minute + 2},
		"lifted":                               {reports: []quarantine.CrashReport{own, second, lifted}, after: 2 * time.Second},
		"lifted, older reports afterwards":     {reports: []quarantine.CrashReport{lifted, own, second}, after: 2 * time.Second},
		"report from the future":               {reports: []quarantine.CrashReport{own, future}, want: quarantine.Verdict{Probation: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &quarantine.List{Instance: "entry-1"}
			for _, report := range tt.reports {
				l.Apply(now, report)
			}
			if tt.running {
				l.Check(now.Add(tt.after), fp)
			}
			is.Equal(l.Check(now.Add(tt.after), fp), tt.want)
		})
	}
}

// A crashing request that is retried through any entries, each time after the answer
// to the last send, crashes at most two servers.
func TestAtMostTwoCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lists := []*quarantine.List{{Instance: "entry-1"}, {Instance: "entry-2"}, {Instance: "entry-3"}}
		fp := quarantine.Fingerprint{9}
		now, crashes, last := start(), 0, time.Time{}
		for i := range rapid.IntRange(1, 40).Draw(rt, "sends") {
			now = now.Add(time.Duration(rapid.Int64Range(2, int64(time.Minute)).Draw(rt, "pause")))
			l := lists[rapid.IntRange(0, 2).Draw(rt, "entry")]
			v := l.Check(now, fp)
			if v.Refused {
				continue
			}
			if crashes == quarantine.MaxCrashes && now.Sub(last) >= 30*time.Minute {
				crashes = 0 // the quarantine expired
			}
			crashes, last = crashes+1, now
			report := l.RecordCrash(now.Add(1), fp, quarantine.Origin{Send: string(rune('a' + i)), Began: now})
			for _, other := range lists {
				other.Apply(now, report)
			}
			if v.Probation {
				l.Done(fp)
			}
			if crashes > quarantine.MaxCrashes {
				rt.Fatalf("%d servers crashed", crashes)
			}
		}
	})
}

func TestListKeepsItsLimit(t *testing.T) {
	is := is.New(t)
	l := &quarantine.List{Instance: "entry-1", MaxFingerprints: 100}
	for i := range 300 {
		l.RecordCrash(start().Add(time.Duration(i)), quarantine.Fingerprint{byte(i), byte(i >> 8)}, quarantine.Origin{Service: "registry", Send: "a"})
	}
	is.Equal(len(l.Entries(start().Add(time.Second))), 100)
}

func TestFingerprintDependsOnAllTraits(t *testing.T) {
	is := is.New(t)
	base := quarantine.Traits{Service: "registry", Method: "GET", Path: "/a", Key: "k", Length: 1, Digest: "d"}
	seen := map[quarantine.Fingerprint]bool{base.Fingerprint(): true}
	for _, change := range []func(*quarantine.Traits){
		func(t *quarantine.Traits) { t.Service = "vault" }, func(t *quarantine.Traits) { t.Method = "PUT" },
		func(t *quarantine.Traits) { t.Path = "/ak"; t.Key = "" }, func(t *quarantine.Traits) { t.Key = "" },
		func(t *quarantine.Traits) { t.Length = 2 }, func(t *quarantine.Traits) { t.Digest = "" },
	} {
		traits := base
		change(&traits)
		is.True(!seen[traits.Fingerprint()])
		seen[traits.Fingerprint()] = true
	}
}

func FuzzFingerprint(f *testing.F) {
	f.Add("00112233445566778899aabbccddeeff")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		var fp quarantine.Fingerprint
		if err := fp.UnmarshalText([]byte(text)); err == nil && len(fp.String()) != len(text) {
			t.Errorf("decoded %q to %q", text, fp)
		}
	})
}

// Lists that receive the same reports and lifts in different orders must be equal, or
// entries would disagree for good on which requests to refuse.
func TestOrderOfReportsHasNoEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		report := rapid.Custom(func(rt *rapid.T) quarantine.CrashReport {
			r := quarantine.CrashReport{
				Fingerprint: quarantine.Fingerprint{byte(rapid.IntRange(1, 2).Draw(rt, "fingerprint"))}, Instance: "entry-2",
				At: start().Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "second")) * time.Second),
			}
			if r.Lifted = rapid.IntRange(0, 9).Draw(rt, "kind") == 0; !r.Lifted {
				r.Send = fmt.Sprintf("%s-%d", r.At, rapid.IntRange(0, 1).Draw(rt, "send"))
				if n := rapid.IntRange(0, 40).Draw(rt, "server"); n > 20 {
					r.Server = id.Server(fmt.Sprintf("s-%d", n))
				}
			}
			return r
		})
		reports := rapid.SliceOfN(report, 0, 60).Draw(rt, "reports")
		now := start().Add(2 * time.Minute)
		a := &quarantine.List{Instance: "entry-1", Tolerated: 2}
		b := &quarantine.List{Instance: "entry-3", Tolerated: 2}
		for _, r := range reports {
			a.Apply(now, r)
		}
		for _, r := range rapid.Permutation(reports).Draw(rt, "order") {
			b.Apply(now, r)
		}
		if !slices.Equal(a.Entries(now), b.Entries(now)) {
			rt.Fatalf("%v and %v", a.Entries(now), b.Entries(now))
		}
		if a.Digest(now) != b.Digest(now) {
			rt.Fatalf("digests %x and %x", a.Digest(now), b.Digest(now))
		}
	})
}

// Several copies of a request that run on one server when it crashes must count as one
// crash, or a frequent request is refused after a single one.
func TestCopiesOnOneServerCountOnce(t *testing.T) {
	is := is.New(t)
	l, fp, now := newList("entry-1"), quarantine.Fingerprint{1}, start()
	for n := range 5 {
		l.RecordCrash(now.Add(time.Duration(n)), fp, quarantine.Origin{Send: fmt.Sprint(n), Server: "i-1"})
	}
	is.Equal(l.Crashes(now, fp), 1)
	l.RecordCrash(now.Add(time.Second), fp, quarantine.Origin{Send: "6", Server: "i-2"})
	is.True(!l.Check(now.Add(time.Second), fp).Refused)
	l.RecordCrash(now.Add(2*time.Second), fp, quarantine.Origin{Send: "7", Server: "i-3"})
	is.True(l.Check(now.Add(2*time.Second), fp).Refused)
}

// Guards against several crashes of a server that is started again under its name counting as
// one, and against one crash counting several times because its reports name no process.
func TestProcessesOfOneServerCountEach(t *testing.T) {
	tests := map[string]struct {
		processes []id.Incarnation // of the reports, in order
		crashes   int
	}{
		"one process":           {[]id.Incarnation{7, 7, 7}, 1},
		"three processes":       {[]id.Incarnation{7, 8, 9}, 3},
		"processes not known":   {[]id.Incarnation{0, 0, 0}, 1},
		"another one not known": {[]id.Incarnation{7, 0, 7}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, other, fp, now := newList("entry-1"), newList("entry-2"), quarantine.Fingerprint{1}, start()
			for n, process := range tt.processes {
				began := now.Add(time.Duration(n) * time.Second)
				other.Apply(began, l.RecordCrash(began.Add(time.Millisecond), fp, quarantine.Origin{Send: fmt.Sprint(n), Server: "i-1", Incarnation: process, Began: began}))
			}
			now = now.Add(time.Minute)
			is.Equal(l.Crashes(now, fp), tt.crashes)
			is.Equal(l.Check(now, fp).Refused, tt.crashes > 2)
			is.Equal(other.Digest(now), l.Digest(now))
			is.Equal(other.Check(now, fp), l.Check(now, fp))
		})
	}
}

// Guards against a harmless request being refused after an outage of several servers, and
// against a request that crashes servers being sent on because some of its sends were under
// way together, or because the clocks of entries differ.
func TestSendsUnderWayTogether(t *testing.T) {
	const ms = time.Millisecond
	type send struct {
		entry        id.Instance
		began, ended time.Duration
	}
	tests := map[string]struct {
		sends   []send
		refused bool
	}{
		"five together":                        {[]send{{"e-1", 0, 90 * ms}, {"e-1", 10 * ms, 91 * ms}, {"e-1", 20 * ms, 92 * ms}, {"e-1", 80 * ms, 93 * ms}, {"e-1", 89 * ms, 300 * ms}}, false},
		"together at three entries":            {[]send{{"e-1", 0, 90 * ms}, {"e-2", 10 * ms, 91 * ms}, {"e-3", 20 * ms, 92 * ms}}, false},
		"together, a clock is ahead":           {[]send{{"e-1", 0, 90 * ms}, {"e-2", 1500 * ms, 1590 * ms}, {"e-3", 20 * ms, 92 * ms}}, false},
		"two together, one later":              {[]send{{"e-1", 0, 90 * ms}, {"e-1", 0, 95 * ms}, {"e-1", 90 * ms, 99 * ms}}, true},
		"three together, one later":            {[]send{{"e-1", 0, 90 * ms}, {"e-1", 0, 91 * ms}, {"e-1", 0, 92 * ms}, {"e-1", 200 * ms, 210 * ms}}, true},
		"one after another":                    {[]send{{"e-1", 0, 5 * ms}, {"e-1", 6 * ms, 10 * ms}, {"e-1", 11 * ms, 15 * ms}}, true},
		"one after another at three entries":   {[]send{{"e-1", 0, 5 * ms}, {"e-2", 1900 * ms, 1905 * ms}, {"e-3", 3800 * ms, 3805 * ms}}, true},
		"one after another, not known in time": {[]send{{"e-1", 0, 0}, {"e-1", -1, 0}, {"e-1", -1, 0}}, true},
		"two one after another":                {[]send{{"e-1", 0, 5 * ms}, {"e-1", 6 * ms, 10 * ms}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fp, l := quarantine.Fingerprint{1}, newList("e-9")
			detected := start()
			for n, s := range tt.sends {
				o := quarantine.Origin{Send: fmt.Sprint(n), Server: id.Server(fmt.Sprint("i-", n)), Began: start().Add(s.began), Ended: start().Add(s.ended)}
				if s.began < 0 {
					o.Began, o.Ended = time.Time{}, time.Time{}
				}
				detected = start().Add(s.ended + 30*ms)
				l.Apply(detected, newList(s.entry).RecordCrash(detected, fp, o))
			}
			is.Equal(l.Crashes(detected, fp), len(tt.sends))
			is.Equal(l.Check(detected, fp).Refused, tt.refused)
		})
	}
}

// A list that takes what it lacks of another's reports must hold all of both, and have
// the same digest once the other has done so too.
func TestMissingReports(t *testing.T) {
	is := is.New(t)
	now := start()
	a, b := &quarantine.List{Instance: "entry-1"}, &quarantine.List{Instance: "entry-2"}
	is.Equal(a.Digest(now), b.Digest(now))
	for i := range 20 {
		l := a
		if i%3 == 0 {
			l = b
		}
		l.RecordCrash(now.Add(time.Duration(i)), quarantine.Fingerprint{byte(i / 2)}, quarantine.Origin{Send: fmt.Sprint(i)})
	}
	b.Lift(now.Add(time.Second), quarantine.Fingerprint{4})
	now = now.Add(time.Minute)
	is.True(a.Digest(now) != b.Digest(now))
	is.Equal(len(a.Missing(now, b.ReportIDs(now), 5)), 5) // bounded
	for _, pull := range [][2]*quarantine.List{{a, b}, {b, a}} {
		for _, r := range pull[1].Missing(now, pull[0].ReportIDs(now), quarantine.MaxExchanged) {
			is.True(pull[0].Apply(now, r))
		}
	}
	is.Equal(a.Digest(now), b.Digest(now))
	is.Equal(len(a.Missing(now, b.ReportIDs(now), 5)), 0)
	is.Equal(len(a.Entries(now)), 9) // one of ten was lifted
}

// Reports that are about to expire must not be exchanged, as an entry whose clock is
// ahead would drop them each time.
func TestExpiringReportsAreNotExchanged(t *testing.T) {
	is := is.New(t)
	l := &quarantine.List{Instance: "entry-1"}
	empty := l.Digest(start())
	l.RecordCrash(start(), quarantine.Fingerprint{1}, quarantine.Origin{Send: "a"})
	is.True(l.Digest(start().Add(27*time.Minute)) != empty)
	is.Equal(l.Digest(start().Add(29*time.Minute)), empty)
	is.Equal(l.Crashes(start().Add(29*time.Minute), quarantine.Fingerprint{1}), 1)
}
