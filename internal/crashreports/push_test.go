package crashreports_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// A comparison must also tell the entry that is asked, which may not be able to call back
// and otherwise learns only when it chooses the one that has the reports.
func TestComparisonTellsBothEntries(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := connect(n, "a", "b")
		n.cut[[2]id.Instance{"b", "a"}] = true
		fp := quarantine.Fingerprint{1}
		for _, send := range []string{"s1", "s2"} {
			o := quarantine.Origin{Service: "registry", Class: "lookup", Send: send, Began: time.Now()}
			time.Sleep(time.Millisecond)
			all["a"].List.RecordCrash(time.Now(), fp, o)
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = all["a"].Run(ctx) }()
		time.Sleep(time.Minute)
		cancel()
		is.True(all["b"].List.Quarantined(time.Now(), fp))
	})
}
