package serverlimit_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/serverlimit"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

var start = time.Unix(1000, 0)

func newTable() *serverlimit.Table {
	return &serverlimit.Table{Log: slog.New(slog.DiscardHandler)}
}

// A limit holds from the first answer that names it to the first without it.
func TestRateFollowsAnswers(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	table := &serverlimit.Table{Log: slog.New(slog.NewTextHandler(&log, nil))}
	key := serverlimit.Key{Server: "i-1", StartedAt: 7}
	for i, rate := range []unit.Rate{0, 2.5, 2.5, 1, 0, 0, 0.01, 2e6} {
		table.Observe(start.Add(time.Duration(i)*time.Second), key, rate, "r")
		want := rate
		switch rate {
		case 0.01:
			want = serverlimit.MinRate
		case 2e6:
			want = 0
		}
		is.Equal(table.Rate(start.Add(time.Duration(i)*time.Second), key), want)
	}
	is.Equal(table.Rate(start, serverlimit.Key{Server: "i-1", StartedAt: 8}), unit.Rate(0)) // a later start
	is.Equal(strings.Count(log.String(), "\n"), 5)                                          // one line a change
}

func TestLimitWithoutAnswersIsForgotten(t *testing.T) {
	is := is.New(t)
	table, key := newTable(), serverlimit.Key{Server: "i-1"}
	table.Observe(start, key, 2.5, "r")
	is.Equal(table.Rate(start.Add(59*time.Second), key), unit.Rate(2.5))
	is.Equal(table.Rate(start.Add(time.Minute), key), unit.Rate(0))
}

// What is known of a server is that of its newest answer, at whichever entry it arrived.
func TestNewestAnswerCounts(t *testing.T) {
	is := is.New(t)
	table, key := newTable(), serverlimit.Key{Server: "i-1", StartedAt: 7}
	table.Observe(start, key, 2.5, "r")
	apply := func(rate unit.Rate, age time.Duration) unit.Rate {
		now := start.Add(2 * time.Second)
		is.NoErr(table.Apply(now, &serverlimit.Report{Server: "i-1", StartedAt: 7, Rate: rate, Age: age}, "entry-2"))
		return table.Rate(now, key)
	}
	is.Equal(apply(9, 3*time.Second), unit.Rate(2.5))
	is.Equal(apply(4, time.Second), unit.Rate(4))
	is.Equal(apply(0, 500*time.Millisecond), unit.Rate(0))
	is.Equal(apply(4, time.Second), unit.Rate(0))
	table.Observe(start.Add(3*time.Second), key, 1, "r")
	is.Equal(table.Rate(start.Add(3*time.Second), key), unit.Rate(1))
}

func TestInvalidReportsAreDropped(t *testing.T) {
	tests := map[string]serverlimit.Report{
		"no server":     {Rate: 1},
		"negative":      {Server: "i-1", Rate: -1},
		"not a number":  {Server: "i-1", Rate: unit.Rate(math.NaN())},
		"infinite":      {Server: "i-1", Rate: unit.Rate(math.Inf(1))},
		"of the future": {Server: "i-1", Rate: 1, Age: -1},
		"outdated":      {Server: "i-1", Rate: 1, Age: time.Minute},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			is.True(table.Apply(start, &r, "entry-2") != nil)
			is.Equal(len(table.Reports(start, 10)), 0)
		})
	}
}

// Limits that have just changed are reported at once, the others in turn.
func TestReports(t *testing.T) {
	is := is.New(t)
	const servers, perHeartbeat = 25, 6
	table := newTable()
	for i := range servers {
		table.Observe(start, serverlimit.Key{Server: id.Server(fmt.Sprint("i-", i))}, 2.5, "r")
	}
	now := start.Add(10 * time.Second)
	table.Observe(now, serverlimit.Key{Server: "i-7"}, 0, "r")
	reported := make(map[id.Server]int)
	const rounds = 10
	for range rounds {
		list := table.Reports(now, perHeartbeat)
		is.Equal(len(list), perHeartbeat)
		if now.Sub(start) < 12*time.Second {
			is.Equal(list[0].Server, id.Server("i-7"))
			is.Equal(list[0].Rate, unit.Rate(0))
		}
		for _, r := range list {
			reported[r.Server]++
		}
		now = now.Add(500 * time.Millisecond)
	}
	is.Equal(len(reported), servers)
}

// An entry that started a short time ago, or doesn't know the others, sends nothing to a
// server with a limit: an earlier process of it may have used its share.
func TestEntryThatStarts(t *testing.T) {
	is := is.New(t)
	table, key := newTable(), serverlimit.Key{Server: "i-1"}
	table.Started = start
	alone := func() serverlimit.Share { return serverlimit.Share{Entries: 1} }
	unknown := func() serverlimit.Share { return serverlimit.Share{} }
	is.True(table.Take(start, key, unknown)) // no limit is known
	table.Observe(start, key, 2.5, "r")
	is.True(!table.Take(start, key, alone))
	is.Equal(table.Next(start, key, alone), start.Add(3600*time.Millisecond))
	is.True(!table.Take(start.Add(time.Minute-1), key, unknown))
	is.True(table.Take(start.Add(3600*time.Millisecond), key, alone))
}
