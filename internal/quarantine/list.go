package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// Crashes is how many backend servers a request may cost that is sent
	// again after it has failed.
	Crashes = 2

	defaultHold   = 30 * time.Second
	defaultMemory = 30 * time.Minute
	defaultListed = 10_000
	maxSightings  = 16
	skewLimit     = time.Minute
)

type (
	// Sighting is the news of one crash, or of its being lifted.
	Sighting struct {
		// Fingerprint is that of the request.
		Fingerprint Fingerprint `json:"fingerprint"`
		// Send is the id of the send that broke.
		Send string `json:"send,omitempty"`
		// Instance is the entry that saw it.
		Instance id.Instance `json:"instance"`
		// Service is the request's service.
		Service id.Service `json:"service,omitempty"`
		// Class is the request's class.
		Class id.Class `json:"class,omitempty"`
		// Began is when the send was begun.
		Began time.Time `json:"began,omitzero"`
		// At is when it was seen.
		At time.Time `json:"at"`
		// Lifted ends the state of the fingerprint as of At.
		Lifted bool `json:"lifted,omitempty"`
	}

	// Origin tells of the send that broke.
	Origin struct {
		// Service is the request's service.
		Service id.Service
		// Class is the request's class.
		Class id.Class
		// Send is the id of the send.
		Send string
		// Began is when it was begun.
		Began time.Time
	}

	// Verdict tells whether a request may be sent.
	Verdict struct {
		// Refused tells that it may not.
		Refused bool
		// RetryAfter is when it may be tried again.
		RetryAfter time.Duration
		// Probation tells that it may, and that Done must be called after the
		// send.
		Probation bool
	}

	// Entry is a fingerprint on the list, for operators.
	Entry struct {
		// Fingerprint is that of the requests.
		Fingerprint Fingerprint `json:"fingerprint"`
		// Service is the requests' service.
		Service id.Service `json:"service"`
		// Class is the requests' class.
		Class id.Class `json:"class"`
		// Sightings counts the crashes.
		Sightings int `json:"sightings"`
		// Quarantined tells that no entry sends it; false is on probation.
		Quarantined bool `json:"quarantined"`
		// Until is when the state ends by itself.
		Until time.Time `json:"until"`
	}

	// List holds the fingerprints of one entry. Its fields must not change
	// after the first call. It is safe for concurrent use.
	List struct {
		// Instance is the entry's name.
		Instance id.Instance
		// Hold is how long other entries refuse a fingerprint after its first
		// crash; 0 is 30 s.
		Hold time.Duration
		// Memory is how long a crash counts; 0 is 30 min.
		Memory time.Duration
		// Tolerated is the number of crashes after which the next one
		// quarantines a fingerprint; nothing is kept away before. 0 keeps
		// a fingerprint away, on probation, from its first crash on.
		Tolerated int
		// Listed is the greatest number of fingerprints; 0 is 10,000. Past it
		// the one with the oldest news leaves the list.
		Listed int

		mu     sync.Mutex
		listed map[Fingerprint]*state
		// size is the number of listed fingerprints. Requests take no lock
		// while it is 0.
		size atomic.Int64
	}

	state struct {
		// sightings counts since the last lift, the earliest known first.
		sightings []Sighting
		at        time.Time
		lifted    time.Time
		busy      bool
	}
)

// Check tells whether a request may be sent now.
func (l *List) Check(now time.Time, fp Fingerprint) Verdict {
	if l.size.Load() == 0 {
		return Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.listed[fp]
	if s == nil {
		return Verdict{}
	}
	if now.Sub(s.at) >= l.memory() {
		l.drop(fp)
		return Verdict{}
	}
	switch held := s.at.Add(l.hold()).Sub(now); {
	case l.quarantined(s):
		return Verdict{Refused: true, RetryAfter: s.at.Add(l.memory()).Sub(now)}
	case len(s.sightings) == 0, l.Tolerated > 0:
		return Verdict{}
	case s.sightings[0].Instance != l.Instance && held > 0:
		return Verdict{Refused: true, RetryAfter: held}
	case s.busy:
		return Verdict{Refused: true, RetryAfter: time.Second}
	}
	s.busy = true
	return Verdict{Probation: true}
}

// Quarantined tells whether no entry may send a fingerprint.
func (l *List) Quarantined(now time.Time, fp Fingerprint) bool {
	if l.size.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.listed[fp]
	return s != nil && l.quarantined(s) && now.Sub(s.at) < l.memory()
}

// Done notes the end of a send that Check allowed on probation.
func (l *List) Done(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.listed[fp]; s != nil {
		s.busy = false
	}
}

// Sight notes that a send broke and returns the news for the other entries.
func (l *List) Sight(now time.Time, fp Fingerprint, o Origin) Sighting {
	news := Sighting{Fingerprint: fp, Send: o.Send, Instance: l.Instance, Service: o.Service, Class: o.Class, Began: o.Began, At: now}
	l.Learn(now, news)
	return news
}

// Clear ends the probation of a fingerprint whose request got a whole answer.
// It returns the news for the other entries, and false if there is none.
func (l *List) Clear(now time.Time, fp Fingerprint) (Sighting, bool) {
	if l.size.Load() == 0 {
		return Sighting{}, false
	}
	l.mu.Lock()
	s := l.listed[fp]
	probation := s != nil && len(s.sightings) > 0 && !l.quarantined(s)
	l.mu.Unlock()
	if !probation {
		return Sighting{}, false
	}
	return l.Lift(now, fp), true
}

// Lift ends the state of a fingerprint and returns the news for the other
// entries.
func (l *List) Lift(now time.Time, fp Fingerprint) Sighting {
	news := Sighting{Fingerprint: fp, Instance: l.Instance, At: now, Lifted: true}
	l.Learn(now, news)
	return news
}

// Learn takes news, of this entry or another, in any order and any number of
// times.
func (l *List) Learn(now time.Time, news Sighting) {
	if news.At.After(now.Add(skewLimit)) || now.Sub(news.At) >= l.memory() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.listed[news.Fingerprint]
	if s == nil {
		s = l.add(now, news.Fingerprint)
	}
	switch {
	case news.Lifted:
		if news.At.After(s.lifted) {
			s.lifted, s.at, s.sightings, s.busy = news.At, news.At, nil, false
		}
	case !news.At.After(s.lifted), s.knows(news.Send), len(s.sightings) >= maxSightings:
	default:
		s.sightings = append(s.sightings, news)
		if news.At.After(s.at) {
			s.at = news.At
		}
	}
}

// Watching tells whether there is any news. Without, no fingerprint needs to be
// checked.
func (l *List) Watching() bool { return l.size.Load() > 0 }

func (l *List) quarantined(s *state) bool {
	if l.Tolerated > 0 {
		return len(s.sightings) > l.Tolerated
	}
	return s.quarantined()
}

// quarantined tells whether a send broke that was begun once another had
// broken. Sends that were under way together count as one: they may have met
// the same stop of several servers.
func (s *state) quarantined() bool {
	for i := range s.sightings {
		if !s.sightings[i].Began.Before(s.earliest()) {
			return true
		}
	}
	return false
}

func (s *state) earliest() time.Time {
	first := s.sightings[0].At
	for i := range s.sightings {
		if at := s.sightings[i].At; at.Before(first) {
			first = at
		}
	}
	return first
}

func (s *state) knows(send string) bool {
	return slices.ContainsFunc(s.sightings, func(n Sighting) bool { return n.Send == send })
}

// News returns at most limit pieces of the news that are behind the list, the
// latest first, for an entry that may not have heard them.
func (l *List) News(now time.Time, limit int) []Sighting {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Sighting
	for fp, s := range l.listed {
		if now.Sub(s.at) >= l.memory() {
			continue
		}
		all = append(all, s.sightings...)
		if !s.lifted.IsZero() {
			all = append(all, Sighting{Fingerprint: fp, Instance: l.Instance, At: s.lifted, Lifted: true})
		}
	}
	slices.SortFunc(all, func(a, b Sighting) int {
		return cmp.Or(b.At.Compare(a.At), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return all[:min(len(all), limit)]
}

// Entries returns what is on the list, by fingerprint.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Entry
	for fp, s := range l.listed {
		until := s.at.Add(l.memory())
		if len(s.sightings) == 0 || !until.After(now) {
			continue
		}
		first := &s.sightings[0]
		all = append(all, Entry{Fingerprint: fp, Service: first.Service, Class: first.Class, Sightings: len(s.sightings), Quarantined: l.quarantined(s), Until: until})
	}
	slices.SortFunc(all, func(a, b Entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

// add lists a fingerprint.
func (l *List) add(now time.Time, fp Fingerprint) *state {
	if l.listed == nil {
		l.listed = map[Fingerprint]*state{}
	}
	limit := l.Listed
	if limit == 0 {
		limit = defaultListed
	}
	if len(l.listed) >= limit {
		l.evict(now, limit)
	}
	s := &state{}
	l.listed[fp] = s
	l.size.Store(int64(len(l.listed)))
	return s
}

func (l *List) drop(fp Fingerprint) {
	delete(l.listed, fp)
	l.size.Store(int64(len(l.listed)))
}

// evict makes room for one fingerprint.
func (l *List) evict(now time.Time, limit int) {
	var oldest Fingerprint
	at := now.Add(skewLimit)
	for fp, s := range l.listed {
		if now.Sub(s.at) >= l.memory() {
			l.drop(fp)
		} else if s.at.Before(at) {
			oldest, at = fp, s.at
		}
	}
	if len(l.listed) >= limit {
		l.drop(oldest)
	}
}

func (l *List) hold() time.Duration {
	if l.Hold == 0 {
		return defaultHold
	}
	return l.Hold
}

func (l *List) memory() time.Duration {
	if l.Memory == 0 {
		return defaultMemory
	}
	return l.Memory
}
