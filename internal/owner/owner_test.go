package owner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const objects = 3000

func owners(servers []id.Server) map[int]id.Server {
	out := make(map[int]id.Server, objects)
	for o := range objects {
		key := owner.Key("registry", fmt.Sprint(o))
		best := uint64(0)
		for _, s := range servers {
			if score := owner.Score(key, owner.Seed(s)); score >= best {
				best, out[o] = score, s
			}
		}
	}
	return out
}

func names(n int) []id.Server {
	var out []id.Server
	for i := range n {
		out = append(out, id.Server(fmt.Sprintf("i-%d", i)))
	}
	return out
}

func TestObjectsAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	count := map[id.Server]int{}
	for _, s := range owners(names(30)) {
		count[s]++
	}
	for s, n := range count {
		if n < 60 || n > 145 { // the mean is 100; four standard deviations are 40
			t.Errorf("server %s owns %d of %d objects", s, n, objects)
		}
	}
	is.Equal(len(count), 30)
}

func TestRemovedServerMovesOnlyItsObjects(t *testing.T) {
	is := is.New(t)
	all := names(30)
	before, after := owners(all), owners(all[1:])
	for o, s := range before {
		if s != all[0] {
			is.Equal(after[o], s)
		}
	}
}
