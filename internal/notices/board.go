package notices

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Notice says whether a backend server is leaving.
	Notice struct {
		// Service is the server's service.
		Service id.Service `json:"service"`
		// Server names the backend server.
		Server id.Server `json:"server"`
		// Leaving tells whether it gets no new work.
		Leaving bool `json:"leaving"`
		// Since is the author's time of the notice. It is for people alone.
		Since time.Time `json:"since"`
		// Sequence is higher than that of every notice its author had seen.
		Sequence uint64 `json:"sequence"`
		// By is the entry that the operator told.
		By id.Instance `json:"by"`
	}

	// Key names a backend server.
	Key struct {
		// Service is the server's service.
		Service id.Service
		// Server names the backend server.
		Server id.Server
	}

	// Board holds the latest notice of each backend server. The zero Board is
	// empty. It is safe for concurrent use; readers take no lock.
	Board struct {
		mu      sync.Mutex
		latest  atomic.Pointer[latest]
		highest uint64
	}

	// latest is what a board holds at one time. It is immutable.
	latest struct {
		notices map[Key]Notice
		digest  uint64
	}
)

// Check tells what is wrong with a decoded notice, nil if nothing is.
func (n *Notice) Check() error {
	if n.Service == "" || n.Server == "" || n.By == "" || n.Sequence == 0 {
		return eris.New("a notice needs service, server, author and sequence")
	}
	return nil
}

// Leaving tells whether the latest notice says that the server is leaving.
func (b *Board) Leaving(service id.Service, server id.Server) bool {
	n, ok := b.Get(Key{Service: service, Server: server})
	return ok && n.Leaving
}

// Get returns the latest notice of a server.
func (b *Board) Get(k Key) (Notice, bool) {
	n, ok := b.load()[k]
	return n, ok
}

// All returns the latest notices, ordered by service and server.
func (b *Board) All() []Notice {
	latest := b.load()
	out := make([]Notice, 0, len(latest))
	for _, n := range latest {
		out = append(out, n)
	}
	slices.SortFunc(out, func(x, y Notice) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Server, y.Server))
	})
	return out
}

// Digest returns a hash of the latest notices, which doesn't depend on the
// order in which they came; 0 for an empty board.
func (b *Board) Digest() uint64 {
	if p := b.latest.Load(); p != nil {
		return p.digest
	}
	return 0
}

// Set makes a notice that counts over all notices on the board and returns it.
func (b *Board) Set(k Key, leaving bool, now time.Time, by id.Instance) Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := Notice{Service: k.Service, Server: k.Server, Leaving: leaving, Since: now, Sequence: b.highest + 1, By: by}
	b.store([]Notice{n})
	return n
}

// Merge takes in notices of other entries and returns those that were news.
// Notices that don't check are left out.
func (b *Board) Merge(notices []Notice) []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news []Notice
	latest := b.load()
	for _, n := range notices {
		if n.Check() != nil {
			continue
		}
		if old, ok := latest[n.key()]; !ok || n.after(&old) {
			news = append(news, n)
		}
	}
	if len(news) > 0 {
		b.store(news)
	}
	return news
}

// store replaces the map by a copy that holds the given notices. Later ones of
// the same server in the list only replace earlier ones that they come after.
func (b *Board) store(notices []Notice) {
	old := b.load()
	next := &latest{notices: make(map[Key]Notice, len(old)+len(notices)), digest: b.Digest()}
	maps.Copy(next.notices, old)
	for _, n := range notices {
		have, ok := next.notices[n.key()]
		if ok && !n.after(&have) {
			continue
		}
		if ok {
			next.digest -= have.hash()
		}
		next.digest += n.hash()
		next.notices[n.key()] = n
		b.highest = max(b.highest, n.Sequence)
	}
	b.latest.Store(next)
}

func (b *Board) load() map[Key]Notice {
	if p := b.latest.Load(); p != nil {
		return p.notices
	}
	return nil
}

// hash returns a hash of what counts in a notice.
func (n *Notice) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %t", n.Service, n.Server, n.By, n.Sequence, n.Leaving))
}

func (n *Notice) key() Key { return Key{Service: n.Service, Server: n.Server} }

func (n *Notice) after(other *Notice) bool {
	return cmp.Or(cmp.Compare(n.Sequence, other.Sequence), cmp.Compare(n.By, other.By)) > 0
}
