package dispatch

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// familiarTime is how long a server is expected to know an object after this
	// entry sent it a request on it: other objects push it out in time.
	familiarTime = 15 * time.Second
	// familiarServers is how many servers are remembered for an object.
	familiarServers = 4
	// familiarObjects is how many objects are remembered.
	familiarObjects = 8192
)

type (
	// familiar remembers which servers this entry sent requests on an object to,
	// and that therefore should know it. The zero familiar is ready for use.
	familiar struct {
		mu      sync.Mutex
		objects map[uint64]*[familiarServers]visit
	}

	visit struct {
		server id.Server
		at     time.Time
	}
)

// note takes in that a server got a request on an object.
func (f *familiar) note(now time.Time, key uint64, server id.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visits := f.objects[key]
	if visits == nil {
		visits = f.add(now, key)
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

// knowing returns the servers that should know an object.
func (f *familiar) knowing(now time.Time, key uint64) []id.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	visits := f.objects[key]
	if visits == nil {
		return nil
	}
	out := make([]id.Server, 0, familiarServers)
	for i := range visits {
		if visits[i].server != "" && now.Sub(visits[i].at) < familiarTime {
			out = append(out, visits[i].server)
		}
	}
	return out
}

// add makes room for an object, and forgets those that nobody asked for lately.
func (f *familiar) add(now time.Time, key uint64) *[familiarServers]visit {
	if len(f.objects) >= familiarObjects {
		for k, visits := range f.objects {
			if now.Sub(newest(visits)) >= familiarTime || len(f.objects) >= familiarObjects {
				delete(f.objects, k)
			}
		}
	}
	if f.objects == nil {
		f.objects = make(map[uint64]*[familiarServers]visit)
	}
	visits := &[familiarServers]visit{}
	f.objects[key] = visits
	return visits
}

func newest(visits *[familiarServers]visit) time.Time {
	at := visits[0].at
	for _, v := range visits {
		if v.at.After(at) {
			at = v.at
		}
	}
	return at
}
