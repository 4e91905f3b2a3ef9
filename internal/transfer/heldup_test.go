package transfer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
)

// Guards against answers that are given up although they have arrived, at an entry that didn't
// run for a while: the timer and the bytes are then there at the same time.
func TestBytesOfATimeWithoutProcessorCount(t *testing.T) {
	for name, tt := range map[string]struct {
		late    time.Duration // of the timer
		arrived bool          // bytes are read after it
		expired bool
	}{
		"on time":                  {0, true, true},
		"a little late":            {heldUp / 2, true, true},
		"held up, bytes are there": {time.Second, true, false},
		"held up, no bytes":        {time.Second, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, tr := Begin(t.Context(), Limits{First: time.Minute, Stall: time.Second, Total: time.Hour})
				defer tr.End()
				tr.advance(1)
				tr.timer.Stop()
				time.Sleep(time.Second + tt.late)
				tr.expire()
				if tt.arrived {
					tr.advance(1)
				}
				time.Sleep(2 * heldUp)
				is.Equal(ctx.Err() != nil, tt.expired)
				time.Sleep(time.Second)
				is.True(ctx.Err() != nil) // stalled since
			})
		})
	}
}
