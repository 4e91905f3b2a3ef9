package loads_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/loads"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestRegionSumsLiveEntries(t *testing.T) {
	now := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	use := func(n int) []loads.Use { return []loads.Use{{Service: "registry", Region: "fyn", Slots: n}} }
	tests := map[string]struct {
		reports map[id.Instance][]loads.Use
		entries []id.Instance
		slots   int
		want    float64
		state   measured.State
	}{
		"sum over entries": {reports: map[id.Instance][]loads.Use{"a": use(3), "b": use(2)}, entries: []id.Instance{"a", "b"}, slots: 10, want: 0.5, state: measured.Fresh},
		"entry not listed": {reports: map[id.Instance][]loads.Use{"a": use(3), "b": use(2)}, entries: []id.Instance{"a"}, slots: 10, want: 0.3, state: measured.Fresh},
		"missing report":   {reports: map[id.Instance][]loads.Use{"a": use(3)}, entries: []id.Instance{"a", "b"}, slots: 10},
		"no entries":       {slots: 10},
		"no slots":         {reports: map[id.Instance][]loads.Use{"a": use(3)}, entries: []id.Instance{"a"}},
		"negative use":     {reports: map[id.Instance][]loads.Use{"a": use(-3)}, entries: []id.Instance{"a"}, slots: 10, state: measured.Fresh},
		"other region":     {reports: map[id.Instance][]loads.Use{"a": {{Service: "registry", Region: "jylland", Slots: 9}}}, entries: []id.Instance{"a"}, slots: 10, state: measured.Fresh},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table loads.Table
			for from, uses := range tt.reports {
				table.Update(from, now, uses)
			}
			got, state := table.Region("registry", "fyn", tt.slots, tt.entries).Read(now, time.Second)
			is.Equal(got, tt.want)
			is.Equal(state, tt.state)
		})
	}
}

func TestRegionHasAgeOfOldestReport(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	var table loads.Table
	table.Update("a", now.Add(-10*time.Second), nil)
	table.Update("b", now, nil)
	age, ok := table.Region("registry", "fyn", 10, []id.Instance{"a", "b"}).Age(now)
	is.True(ok)
	is.Equal(age, 10*time.Second)
}
