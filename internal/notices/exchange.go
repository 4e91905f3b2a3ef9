package notices

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Methods between entries.
const (
	// MethodPost carries new notices to an entry.
	MethodPost = "notices.post"
	// MethodCompare carries a board's digest and returns the other's, with its
	// whole board if they differ.
	MethodCompare = "notices.compare"
)

const (
	keyPrefix     = "status/notices/"
	defaultPeriod = 2 * time.Second
	callTimeout   = time.Second
	maxNotices    = 100_000
)

type (
	// Exchange keeps a Board equal to those of the other entries. Its fields
	// must not change after Run.
	Exchange struct {
		// Self is this entry.
		Self id.Instance
		// Board is kept up to date.
		Board *Board
		// Peers calls other entries.
		Peers peer.Caller
		// Others returns the other entries that may be reached.
		Others func() []id.Instance
		// Store is the platform's store; nil keeps nothing.
		Store store.Store
		// Period is the time between comparisons; 0 means 2 s.
		Period time.Duration
		// Rand jitters the period and chooses the other entry. It is used by
		// Run alone.
		Rand *rand.Rand
		// Changed is called after the board changed; nil is not called.
		Changed func()
		// Log gets a line for each change.
		Log *slog.Logger

		mu      sync.Mutex
		unkept  map[Key]Notice
		learned bool
	}

	// registrar takes the handlers of methods.
	registrar interface {
		Register(method string, handler peer.Handler)
	}

	message struct {
		Notices []Notice `json:"notices,omitempty"`
		// Digest is that of the sender's board.
		Digest uint64 `json:"digest,omitempty"`
		// Tell asks the receiver to pass the notices on to these entries.
		Tell []id.Instance `json:"tell,omitempty"`
	}
)

// Register registers the methods that Exchange answers.
func (x *Exchange) Register(r registrar) {
	r.Register(MethodPost, x.handlePost)
	r.Register(MethodCompare, x.handleCompare)
}

// Post makes a notice and passes it to all other entries before it returns, or
// until ctx ends. Entries that don't confirm it are told by way of others. It
// returns those that did not confirm it directly.
func (x *Exchange) Post(ctx context.Context, k Key, leaving bool) (Notice, []id.Instance) {
	n := x.Board.Set(k, leaving, time.Now(), x.Self)
	x.changed([]Notice{n})
	x.mu.Lock()
	if x.unkept == nil {
		x.unkept = map[Key]Notice{}
	}
	x.unkept[k] = n
	x.mu.Unlock()
	missed := peer.Spread(ctx, x.Peers, callTimeout, x.Others(), MethodPost, func(tell []id.Instance) any {
		return message{Notices: []Notice{n}, Tell: tell}
	})
	x.keep(ctx)
	return n, missed
}

// Run compares boards and writes notices to the store until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	period := x.Period
	if period == 0 {
		period = defaultPeriod
	}
	for {
		x.learn(ctx)
		x.compare(ctx)
		x.keep(ctx)
		wait := period/2 + time.Duration(x.Rand.Int64N(int64(period)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// compare makes this board and that of one other entry equal.
func (x *Exchange) compare(ctx context.Context) {
	others := x.Others()
	if len(others) == 0 {
		return
	}
	var reply message
	other := others[x.Rand.IntN(len(others))]
	if err := x.call(ctx, other, MethodCompare, message{Digest: x.Board.Digest()}, &reply); err != nil {
		return
	}
	x.changed(x.Board.Merge(reply.Notices))
	if x.Board.Digest() != reply.Digest {
		_ = x.call(ctx, other, MethodPost, message{Notices: x.Board.All()}, nil) // the next comparison makes good a loss
	}
}

func (x *Exchange) call(ctx context.Context, to id.Instance, method string, m message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return x.Peers.Call(ctx, to, method, m, reply)
}

func (x *Exchange) handlePost(ctx context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := x.take(params)
	if err != nil {
		return nil, err
	}
	if len(m.Tell) > 0 {
		peer.Tell(ctx, x.Peers, callTimeout, m.Tell, MethodPost, message{Notices: m.Notices})
	}
	return message{}, nil
}

func (x *Exchange) handleCompare(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := x.take(params)
	if err != nil {
		return nil, err
	}
	reply := message{Digest: x.Board.Digest()}
	if reply.Digest != m.Digest {
		reply.Notices = x.Board.All()
	}
	return reply, nil
}

// take decodes a message and takes in its notices.
func (x *Exchange) take(params json.RawMessage) (*message, error) {
	m := new(message)
	if err := json.Unmarshal(params, m); err != nil {
		return nil, eris.Wrap(err, "decode notices")
	}
	if len(m.Notices) > maxNotices {
		return nil, eris.Errorf("%d notices, want at most %d", len(m.Notices), maxNotices)
	}
	x.changed(x.Board.Merge(m.Notices))
	return m, nil
}

// learn reads the kept notices once.
func (x *Exchange) learn(ctx context.Context) {
	if x.learned || x.Store == nil {
		return
	}
	objects, err := x.Store.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	x.learned = true
	for _, o := range objects {
		var n Notice
		if json.Unmarshal(o.Value, &n) == nil {
			x.changed(x.Board.Merge([]Notice{n}))
		}
	}
}

// keep writes this entry's own notices that are not in the store yet.
func (x *Exchange) keep(ctx context.Context) {
	if x.Store == nil {
		return
	}
	x.mu.Lock()
	var todo []Notice
	for _, n := range x.unkept {
		todo = append(todo, n)
	}
	x.mu.Unlock()
	for _, n := range todo {
		if x.write(ctx, n) == nil {
			x.mu.Lock()
			if x.unkept[n.key()] == n {
				delete(x.unkept, n.key())
			}
			x.mu.Unlock()
		}
	}
}

// write writes a notice over an older one; an ambiguous end is tried again,
// which is harmless.
func (x *Exchange) write(ctx context.Context, n Notice) error {
	key := keyPrefix + string(n.Service) + "/" + string(n.Server)
	cond := store.IfAbsent()
	if old, err := x.Store.Get(ctx, key); err == nil {
		var have Notice
		if json.Unmarshal(old.Value, &have) == nil && !n.after(&have) {
			return nil
		}
		cond = store.IfVersion(old.Version)
	}
	value, err := json.Marshal(n)
	if err != nil {
		return eris.Wrap(err, "encode notice")
	}
	_, err = x.Store.Put(ctx, key, value, cond)
	return err
}

func (x *Exchange) changed(news []Notice) {
	for _, n := range news {
		x.Log.Info("notice", "service", n.Service, "server", n.Server, "leaving", n.Leaving, "by", n.By, "sequence", n.Sequence)
	}
	if len(news) > 0 && x.Changed != nil {
		x.Changed()
	}
}
