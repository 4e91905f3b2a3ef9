package ratecheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// window is the length of the windows in which requests are counted.
	window = 4 * time.Second
	// excess and allowance are the permitted excess over a limit.
	excess    = 1.5
	allowance = 5
	// reactionTime is the time after which an entry that passed on an answer with a
	// limit must keep to it.
	reactionTime = 500 * time.Millisecond
)

type (
	// Record is what servers and callers saw of a run. It is safe for concurrent use.
	Record struct {
		mu      sync.Mutex
		servers map[id.Server]*server
	}

	// Violation is a window in which a server got too many requests.
	Violation struct {
		// Server is the server, and Limit the limit that it had named.
		Server id.Server
		Limit  unit.Rate
		// At is the time of the last request of the window.
		At time.Time
		// Got is the number of requests and Allowed the permitted number.
		Got, Allowed int
	}

	server struct {
		changes  []change
		arrivals []arrival
		passedOn map[id.Instance]time.Time // first answer with a limit
	}

	// change is the limit that a server names from a time on, 0 if it names none.
	change struct {
		at   time.Time
		rate unit.Rate
	}

	arrival struct {
		at    time.Time
		entry id.Instance
	}
)

// Name records that a server names a limit from a time on; 0 means none.
func (r *Record) Name(name id.Server, at time.Time, rate unit.Rate) {
	r.change(name, func(s *server) { s.changes = append(s.changes, change{at, rate}) })
}

// PassOn records that an entry passed on an answer with the limit of a server.
func (r *Record) PassOn(name id.Server, entry id.Instance, at time.Time) {
	r.change(name, func(s *server) {
		if first, ok := s.passedOn[entry]; !ok || at.Before(first) {
			s.passedOn[entry] = at
		}
	})
}

// Arrive records that a request of an entry reached a server.
func (r *Record) Arrive(name id.Server, entry id.Instance, at time.Time) {
	r.change(name, func(s *server) { s.arrivals = append(s.arrivals, arrival{at, entry}) })
}

// Violations returns the worst window of each server that got too many requests later
// than the given time after it first named a limit, by server.
func (r *Record) Violations(settling time.Duration) []Violation {
	var out []Violation
	for _, v := range r.Worst(settling) {
		if v.Got > v.Allowed {
			out = append(out, v)
		}
	}
	return out
}

// Worst returns the window of each limited server that is closest to a violation, or
// furthest beyond it.
func (r *Record) Worst(settling time.Duration) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Violation
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		if v, ok := r.servers[name].worst(settling); ok {
			v.Server = name
			out = append(out, v)
		}
	}
	return out
}

// Count returns the number of requests that reached a server in a span of time.
func (r *Record) Count(name id.Server, from, to time.Time) int {
	n := 0
	r.change(name, func(s *server) {
		for _, a := range s.arrivals {
			if !a.at.Before(from) && a.at.Before(to) {
				n++
			}
		}
	})
	return n
}

func (r *Record) change(name id.Server, do func(*server)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servers == nil {
		r.servers = make(map[id.Server]*server)
	}
	if r.servers[name] == nil {
		r.servers[name] = &server{passedOn: make(map[id.Instance]time.Time)}
	}
	do(r.servers[name])
}

func (s *server) worst(settling time.Duration) (Violation, bool) {
	slices.SortFunc(s.changes, func(a, b change) int { return a.at.Compare(b.at) })
	slices.SortFunc(s.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	var worst Violation
	found := false
	first := 0
	var counted []arrival
	for _, a := range s.arrivals {
		if since, ok := s.passedOn[a.entry]; !ok || a.at.Sub(since) < reactionTime {
			continue
		}
		counted = append(counted, a)
		for a.at.Sub(counted[first].at) >= window {
			first++
		}
		limit, since, ok := s.limit(a.at.Add(-window), a.at, settling)
		if !ok {
			continue
		}
		// A limit doesn't concern the requests that arrived before it was named.
		for counted[first].at.Before(since) {
			first++
		}
		v := Violation{Limit: limit, At: a.at, Got: len(counted) - first, Allowed: int(excess*float64(limit)*window.Seconds() + allowance)}
		if !found || cmp.Compare(v.Got-v.Allowed, worst.Got-worst.Allowed) > 0 {
			worst, found = v, true
		}
	}
	return worst, found
}

// limit returns the highest limit that was named in a window, or shortly before, and
// since when there has been one; false if there is none, or has been for a short time.
func (s *server) limit(from, to time.Time, settling time.Duration) (highest unit.Rate, since time.Time, ok bool) {
	named := unit.Rate(0)
	for _, c := range s.changes {
		if c.at.After(to) {
			break
		}
		if !c.at.After(from.Add(-settling)) {
			highest = 0
		}
		if named == 0 && c.rate > 0 {
			since, highest = c.at, 0
		}
		named, highest = c.rate, max(highest, c.rate)
	}
	return highest, since, named > 0 && to.Sub(since) >= settling
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s got %d requests in %v until %s, with a limit of %g a second; allowed %d",
		v.Server, v.Got, window, v.At.Format("15:04:05.000"), float64(v.Limit), v.Allowed)
}
