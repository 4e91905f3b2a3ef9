package shutdown_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/shutdown"
)

func TestSequencePhase(t *testing.T) {
	start := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		begun   bool
		after   time.Duration
		running int
		want    shutdown.Phase
	}{
		"not begun":                  {after: time.Hour, want: shutdown.Serving},
		"just begun":                 {begun: true, want: shutdown.Announced},
		"idle, answers still valid":  {begun: true, after: 13*time.Second - 1, want: shutdown.Announced},
		"answers expired":            {begun: true, after: 13 * time.Second, running: 1, want: shutdown.Closed},
		"upload running for an hour": {begun: true, after: time.Hour, running: 1, want: shutdown.Closed},
		"no request running":         {begun: true, after: 13 * time.Second, want: shutdown.Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seq := shutdown.Sequence{Validity: 10 * time.Second, Propagation: 3 * time.Second}
			if tt.begun {
				seq.Begin(start)
				seq.Begin(start.Add(time.Minute)) // a second call has no effect
			}
			is.Equal(seq.Phase(start.Add(tt.after), tt.running), tt.want)
		})
	}
}

func TestSequenceStaysDone(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)
	var seq shutdown.Sequence
	seq.Begin(start)
	is.Equal(seq.Phase(start, 0), shutdown.Done)
	is.Equal(seq.Phase(start, 1), shutdown.Done)
}
