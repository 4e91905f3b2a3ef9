package drain_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/drain"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

var start = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func TestForecastOutcomes(t *testing.T) {
	const drainTime = 10 * time.Minute
	now := start.Add(time.Minute)
	tests := map[string]struct {
		started  time.Duration // before now
		deadline time.Duration // after now; 0 means none
		size     unit.Bytes
		sent     unit.Bytes
		sentAt   time.Duration // before now
		want     drain.Outcome
		end      time.Duration // after now; 0 means no end
	}{
		"deadline within":        {10 * time.Second, time.Minute, 100, 0, 0, drain.Ends, time.Minute},
		"deadline at the end":    {10 * time.Second, 9 * time.Minute, -1, 0, 0, drain.Ends, 9 * time.Minute},
		"half in ten seconds":    {10 * time.Second, time.Hour, 100, 50, 0, drain.Ends, 15 * time.Second},
		"a hundredth in a min":   {time.Minute, 3 * time.Hour, 100, 1, 0, drain.Outlasts, 99*time.Minute + 5*time.Second},
		"no deadline, slow":      {time.Minute, 0, 100, 1, 0, drain.Outlasts, 99*time.Minute + 5*time.Second},
		"size not declared":      {time.Minute, time.Hour, -1, 50, 0, drain.Unknown, 0},
		"nothing sent":           {time.Minute, time.Hour, 100, 0, 0, drain.Unknown, 0},
		"progress missing":       {time.Minute, time.Hour, 100, -1, 0, drain.Unknown, 0},
		"progress stale":         {2 * time.Minute, time.Hour, 100, 99, time.Minute, drain.Unknown, 0},
		"progress in the future": {time.Minute, time.Hour, 100, 99, -time.Minute, drain.Unknown, 0},
		"more than declared":     {time.Minute, time.Hour, 100, 200, 0, drain.Unknown, 0},
		"just begun":             {time.Second, time.Hour, 100, 50, 0, drain.Unknown, 0},
		"over a day left":        {time.Minute, 0, math.MaxInt64, 1, 0, drain.Outlasts, 0},
		"started in the future":  {-time.Minute, time.Hour, 100, 50, 0, drain.Unknown, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := drain.NewServer(start, drainTime)
			r := drain.Request{Started: now.Add(-tt.started), Size: tt.size}
			if tt.deadline > 0 {
				r.Deadline = now.Add(tt.deadline)
			}
			s.Begin(7, r)
			s.Progress(7, tt.sent, now.Add(-tt.sentAt))
			f := s.Forecasts(now)[0]
			is.Equal(f.Outcome, tt.want)
			if tt.end == 0 {
				is.True(f.End.IsZero())
			} else {
				is.Equal(f.End.Sub(now).Round(time.Second), tt.end)
			}
		})
	}
}

func TestServerPhases(t *testing.T) {
	is := is.New(t)
	s := drain.NewServer(start, time.Minute)
	is.Equal(s.Phase(start), drain.Empty)
	s.Begin(1, drain.Request{Started: start, Size: -1})
	s.Begin(2, drain.Request{Started: start, Size: 100})
	s.Begin(3, drain.Request{Started: start, Deadline: start.Add(time.Second)})
	s.Progress(2, 1, start.Add(10*time.Second))
	s.Progress(2, 0, start.Add(11*time.Second)) // out of order
	s.Progress(9, 1, start)                     // unknown request
	var got []uint64
	for _, f := range s.Forecasts(start.Add(12 * time.Second)) {
		got = append(got, f.ID)
	}
	is.Equal(got, []uint64{2, 1, 3}) // outlasting, unknown, ending in time
	is.Equal(s.Phase(start.Add(59*time.Second)), drain.Draining)
	is.Equal(s.Phase(start.Add(time.Minute)), drain.Overdue)
	s.End(1)
	s.End(2)
	s.End(3)
	is.Equal(s.Phase(start.Add(time.Minute)), drain.Empty)
	is.Equal(drain.NewServer(start, -time.Hour).Until(), start)
}
