package serverlimit_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/serverlimit"
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
