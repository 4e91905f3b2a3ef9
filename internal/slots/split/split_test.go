package split_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/slots/split"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestShareSumsToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := id.Server(rapid.StringMatching(`[a-z0-9]{1,8}`).Draw(t, "server"))
		total := rapid.IntRange(0, 500).Draw(t, "total")
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		sum := 0
		for i := range entries {
			n := split.Share(server, total, entries, i)
			if n < total/entries || n > total/entries+1 {
				t.Fatalf("share %d of %d among %d is uneven", n, total, entries)
			}
			sum += n
		}
		if sum != total {
			t.Fatalf("shares sum to %d, want %d", sum, total)
		}
	})
}

func TestShareIsZeroOutsideTheList(t *testing.T) {
	is := is.New(t)
	is.Equal(split.Share("a", 6, 7, -1), 0)
	is.Equal(split.Share("a", 6, 7, 7), 0)
	is.Equal(split.Share("a", 6, 0, 0), 0)
	is.Equal(split.Share("a", -6, 7, 0), 0)
}
