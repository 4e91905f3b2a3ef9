package sightings

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Methods between entries.
const (
	// MethodTell brings news.
	MethodTell = "sightings.tell"
	// MethodCompare brings news and asks for the other's.
	MethodCompare = "sightings.compare"

	defaultPeriod = 10 * time.Second
	callTimeout   = 250 * time.Millisecond
	maxNews       = 1000
	maxSend       = 128
)

type (
	// Exchange joins the list of one entry to those of the others. Its fields
	// must not change after the first call. It is safe for concurrent use.
	Exchange struct {
		// List is this entry's list.
		List *quarantine.List
		// Peers calls the other entries.
		Peers peer.Caller
		// Others returns the other entries.
		Others func() []id.Instance
		// Period is the time between two comparisons; 0 is 10 s.
		Period time.Duration
		// Rand chooses whom to compare with. It is used by Run alone.
		Rand *rand.Rand
	}

	// message is what entries send one another.
	message struct {
		News []quarantine.Sighting `json:"news"`
		// Tell lists entries to pass the news on to.
		Tell []id.Instance `json:"tell,omitempty"`
	}

	registrar interface {
		Register(method string, handler peer.Handler)
	}
)

// Register lets the exchange answer the other entries.
func (x *Exchange) Register(r registrar) {
	r.Register(MethodTell, x.tell)
	r.Register(MethodCompare, x.compare)
}

// Spread brings the news to all other entries. It returns once each of them
// confirmed it or could not be reached, or when ctx ends.
func (x *Exchange) Spread(ctx context.Context, news quarantine.Sighting) {
	peer.Spread(ctx, x.Peers, callTimeout, x.Others(), MethodTell, func(tell []id.Instance) any {
		return message{News: []quarantine.Sighting{news}, Tell: tell}
	})
}

// Run compares lists until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	period := x.Period
	if period == 0 {
		period = defaultPeriod
	}
	for {
		x.ask(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period/2 + time.Duration(x.Rand.Int64N(int64(period)))):
		}
	}
}

// ask compares the list with that of one other entry.
func (x *Exchange) ask(ctx context.Context) {
	others := x.Others()
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply message
	other := others[x.Rand.IntN(len(others))]
	mine := message{News: x.List.News(time.Now(), maxNews)}
	if err := x.Peers.Call(ctx, other, MethodCompare, mine, &reply); err == nil {
		x.learn(reply.News)
	}
}

func (x *Exchange) tell(ctx context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := decode(params)
	if err != nil {
		return nil, err
	}
	x.learn(m.News)
	peer.Tell(ctx, x.Peers, callTimeout, m.Tell, MethodTell, message{News: m.News})
	return message{}, nil
}

func (x *Exchange) compare(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := decode(params)
	if err != nil {
		return nil, err
	}
	x.learn(m.News)
	return message{News: x.List.News(time.Now(), maxNews)}, nil
}

func (x *Exchange) learn(all []quarantine.Sighting) {
	now := time.Now()
	for i := range all {
		x.List.Learn(now, all[i])
	}
}

func decode(params json.RawMessage) (*message, error) {
	m := new(message)
	if err := json.Unmarshal(params, m); err != nil {
		return nil, eris.Wrap(err, "decode sightings")
	}
	if len(m.News) > maxNews || len(m.Tell) > maxNews {
		return nil, eris.Errorf("message has %d sightings and %d entries, want at most %d", len(m.News), len(m.Tell), maxNews)
	}
	for i := range m.News {
		if n := &m.News[i]; n.At.IsZero() || n.Instance == "" || !n.Lifted && n.Send == "" || len(n.Send) > maxSend {
			return nil, eris.Errorf("sighting %d lacks a field", i)
		}
	}
	return m, nil
}
