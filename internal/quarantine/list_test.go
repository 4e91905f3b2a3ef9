package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/quarantine"
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
