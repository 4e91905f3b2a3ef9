package dispatch

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// warmTime is how long a server is expected to stay warm for an object after this
	// entry sent it a request on it. Later, other objects may have evicted it from
	// the server's cache.
	warmTime = 15 * time.Second
	// warmServers is the number of servers remembered for each object.
	warmServers = 4
	// warmObjects is the maximum number of objects remembered.
	warmObjects = 8192
)

type (
	// warmSet remembers to which servers this entry recently sent requests on an
	// object, and which are therefore expected to be warm for it. The zero warmSet is
	// ready for use.
	warmSet struct {
		mu      sync.Mutex
		objects map[uint64]*[warmServers]visit
	}

	visit struct {
		server id.Server
		at     time.Time
	}
)

// note records that a server got a request on an object.
func (w *warmSet) note(now time.Time, key uint64, server id.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	visits := w.objects[key]
	if visits == nil {
		visits = w.add(now, key)
	}
	oldest := 0
	for i := range visits {
		if visits[i].server == server {
			visits[i].at = now
			return
		}
		if visits[i].at.Before(visits[oldest].at) {
			oldest = i
		}
	}
	visits[oldest] = visit{server, now}
}

// servers returns the servers that are expected to be warm for an object.
func (w *warmSet) servers(now time.Time, key uint64) []id.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	visits := w.objects[key]
	if visits == nil {
		return nil
	}
	out := make([]id.Server, 0, warmServers)
	for i := range visits {
		if visits[i].server != "" && now.Sub(visits[i].at) < warmTime {
			out = append(out, visits[i].server)
		}
	}
	return out
}

// add inserts an object. If the set is full, it evicts objects without recent
// requests, and others until there is room.
func (w *warmSet) add(now time.Time, key uint64) *[warmServers]visit {
	if len(w.objects) >= warmObjects {
		for k, visits := range w.objects {
			if now.Sub(newest(visits)) >= warmTime || len(w.objects) >= warmObjects {
				delete(w.objects, k)
			}
		}
	}
	if w.objects == nil {
		w.objects = make(map[uint64]*[warmServers]visit)
	}
	visits := &[warmServers]visit{}
	w.objects[key] = visits
	return visits
}

func newest(visits *[warmServers]visit) time.Time {
	at := visits[0].at
	for _, v := range visits {
		if v.at.After(at) {
			at = v.at
		}
	}
	return at
}
