package soak_test

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shallotpier/shallotpier/internal/soak"
)

// ciLength is the time during which a test run injects faults.
const ciLength = 6 * time.Second

// failedSeeds returns the seeds that failed in the past, by cause.
func failedSeeds() map[string]uint64 {
	return map[string]uint64{
		"a server's leaving is undone by a restore of the store": 3102,
	}
}

var seed = flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the run with a fresh seed")

func TestSoakViolatesNoGuarantee(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "shallotpier-entry")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/shallotpier-entry")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := failedSeeds()
	seeds["fresh"] = *seed
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			r, err := soak.Run(t.Context(), soak.Options{Binary: binary, Seed: seed, Length: ciLength, Folder: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("seed %d: %d of %d requests served, %.3f after the last fault", seed, r.Served, r.Requests, r.Recovered)
			for _, v := range r.Violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			if t.Failed() {
				for _, f := range r.Faults {
					t.Log(f)
				}
			}
		})
	}
}
