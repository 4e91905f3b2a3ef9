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

// An ended limit must not be reported for good while the server's answers go on.
func TestEndedLimitIsForgotten(t *testing.T) {
	is := is.New(t)
	table, key := newTable(), serverlimit.Key{Server: "i-1"}
	table.Observe(start, key, 2.5, "r")
	for i := range 61 {
		table.Observe(start.Add(time.Duration(1+i)*time.Second), key, 0, "r")
	}
	is.Equal(len(table.Reports(start.Add(59*time.Second), 0, 6)), 1)
	is.Equal(len(table.Reports(start.Add(62*time.Second), 0, 6)), 0)
}

// What is known of a server is that of its newest answer, at whichever entry it arrived.
func TestNewestAnswerCounts(t *testing.T) {
	is := is.New(t)
	table, key := newTable(), serverlimit.Key{Server: "i-1", StartedAt: 7}
	table.Observe(start, key, 2.5, "r")
	apply := func(at time.Duration, rate unit.Rate, answered time.Duration) unit.Rate {
		now := start.Add(at)
		is.NoErr(table.Apply(now, &serverlimit.Report{Server: "i-1", StartedAt: 7, Rate: rate, At: start.Add(answered).UnixMilli()}, "entry-2"))
		return table.Rate(now, key)
	}
	is.Equal(apply(2*time.Second, 9, -time.Second), unit.Rate(2.5))
	is.Equal(apply(2*time.Second, 1, time.Second), unit.Rate(1)) // lower
	is.Equal(apply(2*time.Second, 4, 1500*time.Millisecond), unit.Rate(1))
	is.Equal(apply(4*time.Second, 4, 1500*time.Millisecond), unit.Rate(4)) // higher, 2 s later
	is.Equal(apply(4*time.Second, 0, 3*time.Second), unit.Rate(4))
	is.Equal(apply(5*time.Second, 4, 3500*time.Millisecond), unit.Rate(4)) // newer than the end
	is.Equal(apply(7*time.Second, 0, 3*time.Second), unit.Rate(4))
	is.Equal(apply(7*time.Second, 0, 6*time.Second), unit.Rate(4))
	is.Equal(apply(9*time.Second, 0, 6*time.Second), unit.Rate(0))
	is.Equal(apply(9*time.Second, 4, 5*time.Second), unit.Rate(0))
	is.Equal(apply(9*time.Second, 4, 30*time.Second), unit.Rate(4)) // from a clock that is fast
	table.Observe(start.Add(10*time.Second), key, 1, "r")
	is.Equal(table.Rate(start.Add(10*time.Second), key), unit.Rate(1))
	is.Equal(apply(13*time.Second, 4, 30*time.Second), unit.Rate(1)) // known before the answer
}

func TestInvalidReportsAreDropped(t *testing.T) {
	tests := map[string]serverlimit.Report{
		"no server":     {Rate: 1, At: start.UnixMilli()},
		"negative":      {Server: "i-1", Rate: -1, At: start.UnixMilli()},
		"not a number":  {Server: "i-1", Rate: unit.Rate(math.NaN()), At: start.UnixMilli()},
		"infinite":      {Server: "i-1", Rate: unit.Rate(math.Inf(1)), At: start.UnixMilli()},
		"of the future": {Server: "i-1", Rate: 1, At: start.Add(time.Minute + time.Millisecond).UnixMilli()},
		"outdated":      {Server: "i-1", Rate: 1, At: start.Add(-time.Minute).UnixMilli()},
		"no time":       {Server: "i-1", Rate: 1},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			is.True(table.Apply(start, &r, "entry-2") != nil)
			is.Equal(len(table.Reports(start, 0, 10)), 0)
		})
	}
}

// A limit that has just changed is reported at once, beside the others in turn, also while
// limits are named and forgotten.
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
	for round := range uint64(9) { // three of the limits a round, in turn
		list := table.Reports(now, 100+round, perHeartbeat)
		is.True(len(list) <= perHeartbeat)
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

// A report that was delayed, as in the socket of an entry that was paused, must not replace
// what a newer answer has said, here or at other entries.
func TestDelayedReportDoesNotReplaceNewerLimit(t *testing.T) {
	is := is.New(t)
	key := serverlimit.Key{Server: "i-1"}
	paused, other := newTable(), newTable()
	other.Observe(start, key, 20, "r")
	delayed := other.Reports(start.Add(100*time.Millisecond), 0, 1)
	other.Observe(start.Add(time.Second), key, 2, "r")
	resumed := start.Add(5 * time.Second)
	for i := range 5 {
		now := resumed.Add(time.Duration(i) * 500 * time.Millisecond)
		is.NoErr(paused.Apply(now, &delayed[0], "entry-2"))
		for _, r := range paused.Reports(now, 0, 1) {
			is.NoErr(other.Apply(now, &r, "entry-1"))
		}
		is.Equal(other.Rate(now, key), unit.Rate(2))
	}
}

// An entry that was paused reads answers late. A higher limit that it reports must not
// replace a lower one that the others keep hearing of.
func TestLateAnswerDoesNotRaiseLimitElsewhere(t *testing.T) {
	is := is.New(t)
	key := serverlimit.Key{Server: "i-1"}
	paused, other := newTable(), newTable()
	other.Observe(start, key, 2, "r")
	now := start.Add(500 * time.Millisecond)
	paused.Observe(now, key, 20, "r") // was sent before the limit fell
	for i := range 10 {
		now = now.Add(200 * time.Millisecond)
		for _, r := range paused.Reports(now, 0, 1) {
			is.NoErr(other.Apply(now, &r, "entry-1"))
		}
		is.Equal(other.Rate(now, key), unit.Rate(2))
		if i == 5 {
			other.Observe(now, key, 2, "r")
		}
		for _, r := range other.Reports(now, 0, 1) {
			is.NoErr(paused.Apply(now, &r, "entry-2"))
		}
	}
	is.Equal(paused.Rate(now, key), unit.Rate(2))
}
