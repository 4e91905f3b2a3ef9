package publish_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func added(svc id.Service, n int) publish.Difference {
	var d publish.Difference
	for i := range n {
		d = append(d, publish.Change{Service: svc, Key: fmt.Sprintf("key%d", i), New: "1"})
	}
	return d
}

func TestSummaryCountsKeysOfAddedServices(t *testing.T) {
	changed := publish.Difference{{Service: "vault", Key: "drainTime", Old: "1", New: "2"}}
	few := added("vault", 2)
	tests := map[string]struct {
		difference publish.Difference
		want       string
	}{
		"new service":            {added("registry", 130), "registry: new, 130 keys\n"},
		"changed key":            {changed, changed.String()},
		"new and changed":        {append(added("registry", 130), changed...), "registry: new, 130 keys\n" + changed.String()},
		"few new keys":           {few, few.String()},
		"many keys, one changed": {append(added("vault", 20), changed...), added("vault", 20).String() + changed.String()},
		"no difference":          {nil, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.difference.Summary(), tt.want)
		})
	}
}
