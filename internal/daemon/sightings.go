package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/quarantine"
)

const methodSighting = "quarantine.sighting"

// spreader tells the other entries of crashes.
type spreader struct{ daemon *Daemon }

// Spread implements entry.Spreader.
func (s spreader) Spread(ctx context.Context, news quarantine.Sighting) {
	var wg sync.WaitGroup
	for _, other := range s.daemon.others() {
		wg.Go(func() {
			if err := s.daemon.node.Call(ctx, other, methodSighting, news, nil); err != nil {
				s.daemon.Log.Warn("sightingNotSpread", "to", other, "error", err)
			}
		})
	}
	wg.Wait()
}

func (d *Daemon) handleSighting(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	var news quarantine.Sighting
	if err := json.Unmarshal(params, &news); err != nil {
		return nil, eris.Wrap(err, "decode sighting")
	}
	d.quarantine.Learn(time.Now(), news)
	return struct{}{}, nil
}
