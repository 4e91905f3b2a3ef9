package beliefs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/beliefs"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestDifferences(t *testing.T) {
	base := func() *beliefs.View {
		return &beliefs.View{
			Instance: "entry-2", Version: 7, Known: 6,
			Store:   []beliefs.StoreState{{Name: "servers", Change: 40, Age: time.Second}},
			Servers: []beliefs.Server{{Name: "i-1", State: beliefs.Usable}},
		}
	}
	tests := map[string]struct {
		change func(b *beliefs.View)
		want   []string
	}{
		"none":                         {func(*beliefs.View) {}, nil},
		"configuration":                {func(b *beliefs.View) { b.Version = 6 }, []string{"entry-1 and entry-2: configuration 7 and 6"}},
		"evacuated zones":              {func(b *beliefs.View) { b.EvacuatedZones = []id.Zone{"a-1"} }, []string{"entry-1 and entry-2: evacuated zones [] and [a-1]"}},
		"known entries":                {func(b *beliefs.View) { b.Known = 5 }, []string{"entry-1 and entry-2: 6 and 5 other entries known"}},
		"store change":                 {func(b *beliefs.View) { b.Store[0].Change = 39 }, []string{"entry-1 and entry-2: servers up to change 40 and 39"}},
		"age within the margin":        {func(b *beliefs.View) { b.Store[0].Age = 10 * time.Second }, nil},
		"age beyond the margin":        {func(b *beliefs.View) { b.Store[0].Age = time.Minute }, []string{"entry-1 and entry-2: servers confirmed 1s and 1m0s ago"}},
		"server state":                 {func(b *beliefs.View) { b.Servers[0].State = beliefs.Out }, []string{"entry-1 and entry-2: server i-1 is usable and out"}},
		"server missing in the second": {func(b *beliefs.View) { b.Servers = nil }, []string{"entry-1 and entry-2: server i-1 is usable and not known"}},
		"server missing in the first": {func(b *beliefs.View) {
			b.Servers = append(b.Servers, beliefs.Server{Name: "i-2", State: beliefs.Cold})
		}, []string{"entry-1 and entry-2: server i-2 is not known and cold"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := base(), base()
			first.Instance = "entry-1"
			tt.change(second)
			is.New(t).Equal(beliefs.Differences([]*beliefs.View{first, second}), tt.want)
		})
	}
}
