package relayfeed_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/relayfeed"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/standin/link"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Times of the platform's followers with a drain bound of 3 s.
const (
	drainBound   = 3 * time.Second
	batch        = 450 * time.Millisecond
	callTimeout  = 700 * time.Millisecond
	shortWait    = 1800 * time.Millisecond
	longWait     = 12 * time.Second
	latency      = 2 * time.Millisecond
	shortPolls   = 3
	pollInterval = 10 * time.Millisecond
)

// Limits and sizes of internal/peer/rpc and of answers between entries.
const (
	largeMessage  = 16 << 10
	recentPart    = 300 * time.Millisecond
	receiveCheck  = 50 * time.Millisecond
	maxTransfer   = 20 * time.Second
	packedShare   = 0.25      // of the size of a packed answer
	unpackedShare = 4.0 / 3.0 // base64
	// maxQueue is the longest queue of a link that takes datagrams.
	maxQueue = 200 * time.Millisecond
)

var errDown = errors.New("connection reset")

type (
	// deployment is a simulated deployment of entries that follow one kind. Heartbeats
	// and calls between the entries are those of the real packages over a fake network.
	deployment struct {
		t       *testing.T
		store   *feed.Store
		entries []*member
		byName  map[id.Instance]*member
		byAddr  map[string]*member
		mu      sync.Mutex
		rng     *rand.Rand
		// cut reports whether nothing passes between two entries.
		cut func(a, b *member) bool
		// kind is the kind that is followed, and resume whether a watch that failed continues.
		kind   follow.Kind
		resume bool
		// size returns the size of an object in bytes; nil means that answers take no time.
		size func(*store.Object) int
		// wholeCalls limits calls as a whole, however much of their answers has arrived.
		wholeCalls bool
	}

	// member is an entry.
	member struct {
		d        *deployment
		self     heartbeat.Node // but for the incarnation
		inbox    chan []byte
		direct   bool        // reads from the store only, as builds without relays
		oldBuild atomic.Bool // doesn't know the method
		paused   atomic.Bool
		reads    atomic.Int64 // calls to the store
		lists    atomic.Int64
		leaving  atomic.Bool // is shutting down
		process  atomic.Pointer[process]
		link     *link.Link
		log      *slog.Logger
	}

	// process is a process of an entry.
	process struct {
		*member
		self     heartbeat.Node
		detector *heartbeat.Detector
		client   *feed.Client
		feed     *relayfeed.Feed
		follower *follow.Follower
		handler  peer.Handler
		mu       sync.Mutex
		arrivals map[id.Instance]time.Time // of the latest part of a large answer of an entry
		state    state
		cancel   context.CancelFunc
		ended    <-chan struct{}
	}

	// state is the state of a process. It implements follow.Sink.
	state struct {
		mu       sync.Mutex
		values   map[string]string
		versions map[string]store.Version
		// newest holds the latest versions ever applied, and regressed the changes to older ones.
		newest    map[string]store.Version
		regressed []string
	}

	memberConn struct {
		net.PacketConn
		*process
	}

	// countedFeed counts the calls to the store and holds answers while the entry is
	// paused.
	countedFeed struct {
		*feed.Client
		*process
	}

	// peers calls the other entries.
	peers struct{ *process }
)

func newDeployment(t *testing.T, entries, zones int) *deployment {
	d := &deployment{t: t, store: feed.New(store.Version{Revision: 100}), byName: map[id.Instance]*member{}, byAddr: map[string]*member{}, rng: rand.New(rand.NewPCG(7, 7)), kind: follow.Servers}
	d.setCut(nil)
	for i := range 20 {
		d.store.Put(fmt.Sprintf("s-%d", i), "first")
	}
	for i := range entries {
		zone, addr := i%zones, fmt.Sprintf("10.%d.%d.%d", i%zones, i/250, i%250)
		m := &member{d: d, inbox: make(chan []byte, 1000), log: slog.New(slog.DiscardHandler), self: heartbeat.Node{
			Instance: id.Instance(fmt.Sprintf("entry-%d-%03d", zone, i/zones)), Zone: id.Zone(fmt.Sprintf("z-%d", zone)), Region: "a",
			Callers: netip.MustParseAddrPort(addr + ":80"), Peers: netip.MustParseAddrPort(addr + ":90"),
		}}
		d.entries = append(d.entries, m)
		d.byName[m.self.Instance], d.byAddr[m.self.Peers.String()] = m, m
	}
	return d
}

func (d *deployment) setCut(cut func(a, b *member) bool) {
	if cut == nil {
		cut = func(*member, *member) bool { return false }
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
}

func (d *deployment) isCut(a, b *member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut(a, b) || d.cut(b, a)
}

func (d *deployment) random(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(limit)))
}

// start starts all entries within a second, and waits until they are settled.
func (d *deployment) start(ctx context.Context) {
	for _, m := range d.entries {
		m.start(ctx)
		time.Sleep(d.random(2 * time.Second / time.Duration(len(d.entries))))
	}
	// A change ends the watches of the store that entries begin with.
	time.Sleep(5 * time.Second)
	d.store.Put("s-0", "second")
	time.Sleep(5 * time.Second)
}

// start starts the entry or its next process.
func (m *member) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{member: m, self: m.self, client: &feed.Client{Store: m.d.store, Timeout: callTimeout, Link: m.link, Size: m.d.size, WholeCalls: m.d.wholeCalls}, cancel: cancel, ended: ctx.Done(), arrivals: map[id.Instance]time.Time{}}
	p.self.Incarnation = 1
	if last := m.process.Load(); last != nil {
		p.self.Incarnation = last.self.Incarnation + 1
	}
	m.leaving.Store(false)
	p.detector = &heartbeat.Detector{Interval: 500 * time.Millisecond, Timeout: 2600 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}
	record := &relayfeed.Log{}
	direct := countedFeed{p.client, p}
	p.feed = &relayfeed.Feed{Self: m.self.Instance, Kind: m.d.kind, Store: direct, Peers: peers{p}, Leaders: p.leaders, Timeout: callTimeout, Log: m.log}
	f := &follow.Follower{
		Feed: p.feed, Timeout: callTimeout, Kind: m.d.kind, Resume: m.d.resume, ShortPoll: p.shortPolls, ShortWait: shortWait, LongWait: longWait,
		Batch: batch, StallTimeout: batch + 150*time.Millisecond, Sink: &p.state, OnCatchUp: p.detector.AnnounceSoon, Recorder: record, Log: m.log,
	}
	if m.direct {
		f.Feed = direct
	}
	p.follower = f
	group := follow.Group{m.d.kind: f}
	p.detector.Self = func() heartbeat.Node {
		now := p.self
		now.Ready, now.Changes = !f.Latest().IsZero() && !m.leaving.Load(), group.Changes()
		now.StoreAvailableFor = f.AvailableFor(time.Now())
		return now
	}
	p.detector.OnUpdate = func(_ time.Time, u heartbeat.Update) { group.Invalidate(u.Changes) }
	for _, other := range m.d.entries {
		if other != m {
			p.detector.AddPeer(other.self.Zone, other.self.Peers)
		}
	}
	(&relayfeed.Server{Logs: map[follow.Kind]*relayfeed.Log{m.d.kind: record}, Serving: func() bool { return !m.leaving.Load() }}).Register(p)
	m.process.Store(p)
	go func() { _ = p.detector.Run(ctx, &memberConn{process: p}) }()
	group.Run(ctx)
}

func (m *member) stop() { m.process.Load().cancel() }

func (m *member) running() bool { return m.process.Load().runs() }

// setFault sets the fault of the process's connections to the store.
func (m *member) setFault(f feed.Fault) { m.process.Load().client.SetFault(f) }

func (m *member) shortPolls() bool { return m.process.Load().shortPolls() }

func (p *process) runs() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Register implements the registrar of relayfeed.Server.
func (p *process) Register(_ string, h peer.Handler) { p.handler = h }

func (p *process) shortPolls() bool {
	return p.detector.LiveBefore(time.Now(), p.self.Instance) < shortPolls
}

func (p *process) leaders(now time.Time) []relayfeed.Leader {
	var out []relayfeed.Leader
	for _, l := range p.detector.Leaders(now, &p.self) {
		if l.Ready && !p.shortPolls() {
			out = append(out, relayfeed.Leader{Instance: l.Instance, Incarnation: l.Incarnation, Silent: l.Silent, LinkMbps: l.LinkMbps})
		}
	}
	return out
}

// isLeader reports whether the entry is one of the first two of its zone by name.
func (m *member) isLeader() bool { return m.self.Instance[len(m.self.Instance)-3:] < "002" }

func (c *memberConn) WriteTo(p []byte, to net.Addr) (int, error) {
	other := c.d.byAddr[to.String()]
	if c.paused.Load() || !c.runs() || other == nil || c.d.isCut(c.member, other) {
		return len(p), nil
	}
	if c.link.Queue() > maxQueue {
		return len(p), nil
	}
	data := append([]byte(nil), p...)
	time.AfterFunc(latency+c.link.Reserve(len(p)), func() {
		if other.link.Queue() > maxQueue {
			return
		}
		link.Pass(len(p), other.link)
		select {
		case other.inbox <- data:
		default:
		}
	})
	return len(p), nil
}

func (c *memberConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-c.inbox:
		c.resumed(context.Background())
		return copy(p, data), nil, nil
	case <-c.ended:
		return 0, nil, net.ErrClosed
	}
}

func (*memberConn) SetReadDeadline(time.Time) error { return nil }

// resumed waits until the entry isn't paused.
func (p *process) resumed(ctx context.Context) bool {
	for p.paused.Load() && ctx.Err() == nil && p.runs() {
		time.Sleep(pollInterval)
	}
	return ctx.Err() == nil
}

func (f countedFeed) All(ctx context.Context) ([]store.Object, store.Version, error) {
	f.reads.Add(1)
	f.lists.Add(1)
	defer f.logCall("list", time.Now(), f.Bytes())
	time.Sleep(latency)
	all, v, err := f.Client.All(ctx)
	f.resumed(context.WithoutCancel(ctx))
	return all, v, err
}

func (f countedFeed) Changes(ctx context.Context, after store.Version, wait time.Duration) ([]store.Change, store.Version, error) {
	f.reads.Add(1)
	defer f.logCall(fmt.Sprint("watch from ", after), time.Now(), f.Bytes())
	time.Sleep(latency)
	changes, v, err := f.Client.Changes(ctx, after, wait)
	f.resumed(context.WithoutCancel(ctx))
	return changes, v, err
}

// logCall logs a call to the store at its end, if its answer had a body.
func (f countedFeed) logCall(call string, began time.Time, bytes int64) {
	if now := f.Bytes(); now > bytes {
		f.log.Info("call to the store ended", "call", call, "took", time.Since(began), "bytes", now-bytes)
	}
}

// Call implements peer.Caller.
func (p peers) Call(ctx context.Context, to id.Instance, method string, params, result any) error {
	other := p.d.byName[to]
	if !p.pass(ctx, other) {
		return context.Cause(ctx)
	}
	process := other.process.Load()
	if !process.runs() {
		return errDown
	}
	if other.oldBuild.Load() {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + method}
	}
	question, err := json.Marshal(params)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		a, err := process.handler(ctx, peer.Sender{Instance: p.self.Instance}, question)
		if err == nil {
			err = p.receive(ctx, process, question, a, result)
		}
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-process.ended:
		return errDown
	case <-ctx.Done():
	}
	if !p.d.wholeCalls && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		for end := time.Now().Add(maxTransfer); p.Receiving(to) && time.Now().Before(end); {
			select {
			case err := <-done:
				return err
			case <-time.After(receiveCheck):
			}
		}
	}
	return context.Cause(ctx)
}

// receive receives an answer of another entry's process. A large one arrives to its end, even
// if the call has ended.
func (p peers) receive(ctx context.Context, from *process, question []byte, a, result any) error {
	data, err := json.Marshal(a)
	if err != nil || !p.pass(ctx, from.member) {
		return errors.Join(err, context.Cause(ctx))
	}
	size := p.d.answerSize(question, data)
	if size >= largeMessage {
		from.log.Info("large answer sent", "instance", p.self.Instance, "bytes", size)
	}
	for left := size; left > 0; left -= link.Chunk {
		for p.d.isCut(p.member, from.member) || p.paused.Load() || from.paused.Load() {
			time.Sleep(pollInterval)
			if !from.runs() || !p.runs() {
				break
			}
		}
		if !from.runs() || !p.runs() {
			return errDown
		}
		link.Pass(min(left, link.Chunk), from.link, p.link)
		if size >= largeMessage {
			p.mu.Lock()
			p.arrivals[from.self.Instance] = time.Now()
			p.mu.Unlock()
		}
	}
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return context.Cause(ctx)
	}
	return json.Unmarshal(data, result)
}

// answerSize returns the number of bytes of an answer between entries.
func (d *deployment) answerSize(question, data []byte) int {
	if d.size == nil {
		return 0
	}
	var (
		q struct{ Packed bool }
		a struct{ Changes []store.Object }
	)
	if json.Unmarshal(question, &q) != nil || json.Unmarshal(data, &a) != nil {
		return 0
	}
	sizes, all := map[string]int{}, 0
	for i := range a.Changes {
		size := d.size(&a.Changes[i])
		sizes[a.Changes[i].Key] = size
		all += size
	}
	if !q.Packed || all < largeMessage {
		return int(float64(all) * unpackedShare)
	}
	latest := 0
	for _, size := range sizes {
		latest += size
	}
	return int(float64(latest) * packedShare)
}

// Receiving tells of large answers that are arriving, as that of rpc.Node.
func (p peers) Receiving(from id.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.arrivals[from]
	return ok && !p.d.wholeCalls && time.Since(at) < recentPart
}

// pass waits for one direction of the path to another entry.
func (p peers) pass(ctx context.Context, other *member) bool {
	time.Sleep(latency)
	for p.d.isCut(p.member, other) || p.paused.Load() || other.paused.Load() {
		if ctx.Err() != nil {
			return p.resumed(ctx)
		}
		time.Sleep(pollInterval)
	}
	return true
}

func (s *state) Replace(_ time.Time, all []store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values, s.versions = make(map[string]string), make(map[string]store.Version)
	for _, o := range all {
		s.put(&o)
	}
}

func (s *state) Change(_ time.Time, o store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(&o)
}

// put applies an object. The caller must hold mu.
func (s *state) put(o *store.Object) {
	s.values[o.Key], s.versions[o.Key] = string(o.Value), o.Version
	if s.newest == nil {
		s.newest = make(map[string]store.Version)
	}
	if newest := s.newest[o.Key]; o.Version.Before(newest) {
		s.regressed = append(s.regressed, fmt.Sprintf("%s went from %v to %v", o.Key, newest, o.Version))
		return
	}
	s.newest[o.Key] = o.Version
}

func (s *state) Remove(_ time.Time, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
	delete(s.versions, key)
}

func (*state) StoreRecovered(time.Time, time.Duration) {}

func (*state) StoreRestored(time.Time, store.Version, store.Version) {}

// has returns the applied value of an object, empty if there is none.
func (m *member) has(key string) string {
	s := &m.process.Load().state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// applied returns a copy of the applied objects.
func (m *member) applied() map[string]string {
	s := &m.process.Load().state
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}
