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
	// MethodPost sends new notices to an entry.
	MethodPost = "notices.post"
	// MethodCompare sends the digest of the notices and returns that of the
	// receiver, with all its notices if the digests differ.
	MethodCompare = "notices.compare"
)

const (
	keyPrefix     = "status/notices/"
	defaultPeriod = 2 * time.Second
	callTimeout   = time.Second
	maxNotices    = 100_000
)

type (
	// Exchange keeps the notices of this entry in sync with those of the other
	// entries. Its fields must not change after Run.
	Exchange struct {
		// Self is the name of this entry.
		Self id.Instance
		// Table holds the notices of this entry.
		Table *Table
		// Peers calls other entries.
		Peers peer.Caller
		// Others returns the other entries to exchange notices with.
		Others func() []id.Instance
		// Store is the platform's store; nil stores nothing.
		Store store.Store
		// Period is the time between comparisons; 0 means 2 s.
		Period time.Duration
		// Rand jitters the period and chooses the entry to compare with. It is
		// used by Run alone.
		Rand *rand.Rand
		// OnChange is called after new notices have been added; it may be nil.
		OnChange func()
		// Log receives one line per new notice.
		Log *slog.Logger

		mu      sync.Mutex
		unsaved map[Key]Notice
		loaded  bool
	}

	// registrar registers the handlers of methods.
	registrar interface {
		Register(method string, handler peer.Handler)
	}

	message struct {
		Notices []Notice `json:"notices,omitempty"`
		// Digest is the digest of the sender's notices.
		Digest uint64 `json:"digest,omitempty"`
		// ForwardTo lists entries to which the receiver forwards the notices.
		ForwardTo []id.Instance `json:"tell,omitempty"`
	}
)

// Register registers the handlers of MethodPost and MethodCompare.
func (x *Exchange) Register(r registrar) {
	r.Register(MethodPost, x.handlePost)
	r.Register(MethodCompare, x.handleCompare)
}

// Post makes a notice and sends it to all other entries before it returns, or
// until ctx ends. It is relayed by other entries to those that don't confirm
// it. Post returns the entries that did not confirm it directly.
func (x *Exchange) Post(ctx context.Context, k Key, leaving bool) (Notice, []id.Instance) {
	n := x.Table.Set(k, leaving, time.Now(), x.Self)
	x.reportChanges([]Notice{n})
	x.mu.Lock()
	if x.unsaved == nil {
		x.unsaved = map[Key]Notice{}
	}
	x.unsaved[k] = n
	x.mu.Unlock()
	missed := peer.Broadcast(ctx, x.Peers, callTimeout, x.Others(), MethodPost, func(forwardTo []id.Instance) any {
		return message{Notices: []Notice{n}, ForwardTo: forwardTo}
	})
	x.save(ctx)
	return n, missed
}

// Run compares the notices with those of other entries, and writes notices to
// the store, until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	period := x.Period
	if period == 0 {
		period = defaultPeriod
	}
	for {
		x.load(ctx)
		x.compareWithPeer(ctx)
		x.save(ctx)
		wait := period/2 + time.Duration(x.Rand.Int64N(int64(period)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// compareWithPeer synchronises the notices with those of one random entry.
func (x *Exchange) compareWithPeer(ctx context.Context) {
	others := x.Others()
	if len(others) == 0 {
		return
	}
	var reply message
	other := others[x.Rand.IntN(len(others))]
	if err := x.call(ctx, other, MethodCompare, message{Digest: x.Table.Digest()}, &reply); err != nil {
		return
	}
	x.reportChanges(x.Table.Merge(reply.Notices))
	if x.Table.Digest() != reply.Digest {
		_ = x.call(ctx, other, MethodPost, message{Notices: x.Table.All()}, nil) // the next comparison repairs a lost message
	}
}

func (x *Exchange) call(ctx context.Context, to id.Instance, method string, m message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return x.Peers.Call(ctx, to, method, m, reply)
}

func (x *Exchange) handlePost(ctx context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := x.apply(params)
	if err != nil {
		return nil, err
	}
	if len(m.ForwardTo) > 0 {
		peer.SendAll(ctx, x.Peers, callTimeout, m.ForwardTo, MethodPost, message{Notices: m.Notices})
	}
	return message{}, nil
}

func (x *Exchange) handleCompare(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := x.apply(params)
	if err != nil {
		return nil, err
	}
	reply := message{Digest: x.Table.Digest()}
	if reply.Digest != m.Digest {
		reply.Notices = x.Table.All()
	}
	return reply, nil
}

// apply decodes a message and applies its notices.
func (x *Exchange) apply(params json.RawMessage) (*message, error) {
	m := new(message)
	if err := json.Unmarshal(params, m); err != nil {
		return nil, eris.Wrap(err, "decode notices")
	}
	if len(m.Notices) > maxNotices {
		return nil, eris.Errorf("%d notices, want at most %d", len(m.Notices), maxNotices)
	}
	x.reportChanges(x.Table.Merge(m.Notices))
	return m, nil
}

// load reads the notices from the store, until it has succeeded once.
func (x *Exchange) load(ctx context.Context) {
	if x.loaded || x.Store == nil {
		return
	}
	objects, err := x.Store.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	x.loaded = true
	for _, o := range objects {
		var n Notice
		if json.Unmarshal(o.Value, &n) == nil {
			x.reportChanges(x.Table.Merge([]Notice{n}))
		}
	}
}

// save writes the notices made by this entry that are not in the store yet.
func (x *Exchange) save(ctx context.Context) {
	if x.Store == nil {
		return
	}
	x.mu.Lock()
	var unsaved []Notice
	for _, n := range x.unsaved {
		unsaved = append(unsaved, n)
	}
	x.mu.Unlock()
	for _, n := range unsaved {
		if x.saveNotice(ctx, n) == nil {
			x.mu.Lock()
			if x.unsaved[n.key()] == n {
				delete(x.unsaved, n.key())
			}
			x.mu.Unlock()
		}
	}
}

// saveNotice writes a notice unless the store has one that supersedes it. A
// write with an unknown outcome is retried, which is idempotent.
func (x *Exchange) saveNotice(ctx context.Context, n Notice) error {
	key := keyPrefix + string(n.Service) + "/" + string(n.Server)
	cond := store.IfAbsent()
	if old, err := x.Store.Get(ctx, key); err == nil {
		var stored Notice
		if json.Unmarshal(old.Value, &stored) == nil && !n.supersedes(&stored) {
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

func (x *Exchange) reportChanges(added []Notice) {
	for _, n := range added {
		x.Log.Info("notice", "service", n.Service, "server", n.Server, "leaving", n.Leaving, "by", n.By, "sequence", n.Sequence)
	}
	if len(added) > 0 && x.OnChange != nil {
		x.OnChange()
	}
}
