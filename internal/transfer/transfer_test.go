package transfer_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/transfer"
)

// trickle is a body of which a byte arrives after each delay. It ends with the context.
type trickle struct {
	ctx    context.Context
	delays []time.Duration
}

func (b *trickle) Read(p []byte) (int, error) {
	if len(b.delays) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.delays[0]):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	p[0], b.delays = 'x', b.delays[1:]
	return 1, nil
}

// repeat returns n delays.
func repeat(n int, delay time.Duration) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = delay
	}
	return out
}

// Guards against answers that never arrive because their transfer takes longer than a limit for
// the whole call, and against calls that a stalled connection keeps.
func TestTransferIsLimitedByItsProgress(t *testing.T) {
	tests := map[string]struct {
		delays []time.Duration
		bytes  int64
		err    error
		after  time.Duration
	}{
		"slow but steady":    {repeat(20, 400*time.Millisecond), 20, nil, 8 * time.Second},
		"no answer":          {[]time.Duration{time.Hour}, 0, context.DeadlineExceeded, time.Second},
		"stalls in between":  {[]time.Duration{100 * time.Millisecond, time.Hour}, 1, context.DeadlineExceeded, 600 * time.Millisecond},
		"trickles endlessly": {repeat(1000, 350*time.Millisecond), 29, context.DeadlineExceeded, 10350 * time.Millisecond},
		"late first byte":    {[]time.Duration{900 * time.Millisecond}, 1, nil, 900 * time.Millisecond},
		"empty, at once":     {nil, 0, nil, 0},
		"last byte in time":  {[]time.Duration{0, 499 * time.Millisecond}, 2, nil, 499 * time.Millisecond},
		"last byte too late": {[]time.Duration{0, 501 * time.Millisecond}, 1, context.DeadlineExceeded, 500 * time.Millisecond},
		"three bytes":        {repeat(3, time.Millisecond), 3, nil, 3 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				ctx, tr := transfer.Begin(t.Context(), transfer.Limits{First: time.Second, Stall: 500 * time.Millisecond, Total: 10 * time.Second})
				defer tr.End()
				body, err := io.ReadAll(tr.Reader(&trickle{ctx, tt.delays}))
				is.True(errors.Is(err, tt.err))
				is.Equal(int64(len(body)), tt.bytes)
				is.Equal(tr.Bytes(), tt.bytes)
				is.Equal(time.Since(began), tt.after)
				is.True(errors.Is(tr.Explain(err), tt.err))
			})
		})
	}
}

func TestReceiving(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		var none *transfer.Transfer
		is.True(!none.Receiving())
		ctx, tr := transfer.Begin(t.Context(), transfer.Limits{First: time.Second, Stall: time.Second, Total: time.Minute})
		is.True(!tr.Receiving()) // nothing has arrived
		body := tr.Reader(&trickle{ctx, repeat(3, time.Millisecond)})
		_, err := body.Read(make([]byte, 1))
		is.NoErr(err)
		is.True(tr.Receiving())
		time.Sleep(400 * time.Millisecond)
		is.True(!tr.Receiving()) // stalled
		_, err = body.Read(make([]byte, 1))
		is.NoErr(err)
		is.True(tr.Receiving())
		tr.End()
		is.True(!tr.Receiving())
		is.True(ctx.Err() != nil)
	})
}
