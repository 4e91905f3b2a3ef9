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
	// Notice states whether a backend server is leaving.
	Notice struct {
		// Service is the server's service.
		Service id.Service `json:"service"`
		// Server names the backend server.
		Server id.Server `json:"server"`
		// Leaving reports whether the server gets no new requests.
		Leaving bool `json:"leaving"`
		// Since is when the notice was made, by the author's clock. It is for
		// display only.
		Since time.Time `json:"since"`
		// Sequence is higher than that of every notice its author had received.
		Sequence uint64 `json:"sequence"`
		// By is the author: the entry that received the operator's command.
		By id.Instance `json:"by"`
	}

	// Key identifies a backend server.
	Key struct {
		// Service is the server's service.
		Service id.Service
		// Server names the backend server.
		Server id.Server
	}

	// Table holds the latest notice of each backend server. The zero value is
	// empty. It is safe for concurrent use; readers take no lock.
	Table struct {
		mu      sync.Mutex
		latest  atomic.Pointer[contents]
		highest uint64
	}

	// contents is the immutable state of a Table at one time.
	contents struct {
		notices map[Key]Notice
		digest  uint64
	}
)

// Check returns an error if a decoded notice is invalid.
func (n *Notice) Check() error {
	if n.Service == "" || n.Server == "" || n.By == "" || n.Sequence == 0 {
		return eris.New("a notice needs service, server, author and sequence")
	}
	return nil
}

// Leaving reports whether the server is leaving according to its latest notice.
func (t *Table) Leaving(service id.Service, server id.Server) bool {
	n, ok := t.Get(Key{Service: service, Server: server})
	return ok && n.Leaving
}

// Get returns the latest notice of a server.
func (t *Table) Get(k Key) (Notice, bool) {
	n, ok := t.load()[k]
	return n, ok
}

// All returns the latest notices, ordered by service and server.
func (t *Table) All() []Notice {
	latest := t.load()
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
// order in which they were received; 0 if there are none.
func (t *Table) Digest() uint64 {
	if p := t.latest.Load(); p != nil {
		return p.digest
	}
	return 0
}

// Set adds and returns a notice with a higher sequence number than all notices
// received so far.
func (t *Table) Set(k Key, leaving bool, now time.Time, by id.Instance) Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := Notice{Service: k.Service, Server: k.Server, Leaving: leaving, Since: now, Sequence: t.highest + 1, By: by}
	t.add([]Notice{n})
	return n
}

// Merge adds notices of other entries and returns those that were new. Invalid
// notices are ignored.
func (t *Table) Merge(notices []Notice) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var added []Notice
	latest := t.load()
	for _, n := range notices {
		if n.Check() != nil {
			continue
		}
		if old, ok := latest[n.key()]; !ok || n.supersedes(&old) {
			added = append(added, n)
		}
	}
	if len(added) > 0 {
		t.add(added)
	}
	return added
}

// add replaces the map by a copy that contains the given notices, except those
// that don't supersede an earlier one of the map or of the list.
func (t *Table) add(notices []Notice) {
	current := t.load()
	next := &contents{notices: make(map[Key]Notice, len(current)+len(notices)), digest: t.Digest()}
	maps.Copy(next.notices, current)
	for _, n := range notices {
		old, ok := next.notices[n.key()]
		if ok && !n.supersedes(&old) {
			continue
		}
		if ok {
			next.digest -= old.hash()
		}
		next.digest += n.hash()
		next.notices[n.key()] = n
		t.highest = max(t.highest, n.Sequence)
	}
	t.latest.Store(next)
}

func (t *Table) load() map[Key]Notice {
	if p := t.latest.Load(); p != nil {
		return p.notices
	}
	return nil
}

// hash returns a hash of the fields of a notice, without Since.
func (n *Notice) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %t", n.Service, n.Server, n.By, n.Sequence, n.Leaving))
}

func (n *Notice) key() Key { return Key{Service: n.Service, Server: n.Server} }

func (n *Notice) supersedes(other *Notice) bool {
	return cmp.Or(cmp.Compare(n.Sequence, other.Sequence), cmp.Compare(n.By, other.By)) > 0
}
