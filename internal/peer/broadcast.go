package peer

import (
	"context"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// relays is the number of entries that forward a message to those that its
// sender could not reach.
const relays = 2

// Broadcast sends an update to all others in parallel, and then through up to
// two of those that confirmed it to those that did not. message returns the
// update, with the entries to which its receiver forwards it. Each of the two
// steps takes at most limit. Broadcast returns the entries that did not confirm
// directly.
func Broadcast(ctx context.Context, c Caller, limit time.Duration, others []id.Instance, method string, message func(forwardTo []id.Instance) any) []id.Instance {
	confirmed, missed := SendAll(ctx, c, limit, others, method, message(nil))
	if len(missed) > 0 {
		SendAll(ctx, c, limit, confirmed[:min(len(confirmed), relays)], method, message(missed))
	}
	return missed
}

// SendAll sends params to all others in parallel, for at most limit, and
// returns the entries that confirmed them and those that did not.
func SendAll(ctx context.Context, c Caller, limit time.Duration, others []id.Instance, method string, params any) (confirmed, missed []id.Instance) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	failed := make([]bool, len(others))
	var wg sync.WaitGroup
	for i, other := range others {
		wg.Go(func() { failed[i] = c.Call(ctx, other, method, params, nil) != nil })
	}
	wg.Wait()
	for i, other := range others {
		if failed[i] {
			missed = append(missed, other)
		} else {
			confirmed = append(confirmed, other)
		}
	}
	return confirmed, missed
}
