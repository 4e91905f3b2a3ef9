package soak_test

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shallotpier/shallotpier/internal/soak"
)

// ciLength is how long faults are injected in a run of the tests.
const ciLength = 6 * time.Second

// Seeds that failed once, with the cause.
func failedSeeds() map[string]uint64 {
	return map[string]uint64{}
}

var seed = flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the run that is not a known one")

func TestSoak(t *testing.T) {
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
			t.Logf("seed %d: %d of %d requests served, %.3f after the last fault", seed, r.Served, r.Requests, r.Settled)
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
