package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// MaxCrashes is the maximum number of backend servers that a request may crash if
	// the caller retries it after each failure.
	MaxCrashes = 2

	defaultHold            = 30 * time.Second
	defaultRetention       = 30 * time.Minute
	defaultMaxFingerprints = 10_000
	maxReports             = 16
	maxSkew                = time.Minute
	// clockDifference is how far the clocks of two entries may differ: times of different
	// entries that are closer together have no order.
	clockDifference = 2 * time.Second
)

type (
	// CrashReport is a report of one crash, or of the end of a fingerprint's state.
	CrashReport struct {
		// Fingerprint is the fingerprint of the request.
		Fingerprint Fingerprint `json:"fingerprint"`
		// Send is the ID of the send that crashed the server.
		Send string `json:"send,omitempty"`
		// Server is the server that crashed; empty in reports of entries that send none.
		Server id.Server `json:"server,omitempty"`
		// Incarnation is its process, 0 if unknown.
		Incarnation id.Incarnation `json:"incarnation,omitempty"`
		// Instance is the entry that detected the crash.
		Instance id.Instance `json:"instance"`
		// Of is the fingerprint of the request with its caller, if Fingerprint is that of
		// the request from any caller; otherwise it is zero.
		Of Fingerprint `json:"of,omitzero"`
		// Service is the request's service.
		Service id.Service `json:"service,omitempty"`
		// Class is the request's class.
		Class id.Class `json:"class,omitempty"`
		// Began is the time at which the send was begun; zero if that doesn't matter.
		Began time.Time `json:"began,omitzero"`
		// Ended is the time at which the server ended, zero if unknown: At at the latest.
		Ended time.Time `json:"ended,omitzero"`
		// At is the time at which the crash was detected or the state was lifted.
		At time.Time `json:"at"`
		// Lifted is set if the report ends the state of the fingerprint as of At.
		Lifted bool `json:"lifted,omitempty"`
	}

	// Origin describes the send that crashed a server.
	Origin struct {
		// Service is the request's service.
		Service id.Service
		// Class is the request's class.
		Class id.Class
		// Send is the ID of the send.
		Send string
		// Server is the server. If it is empty, each send counts as the crash of another
		// server.
		Server id.Server
		// Incarnation is the server's process, 0 if unknown. A server may be started again
		// under its name.
		Incarnation id.Incarnation
		// Began is the time at which it was begun; zero if the crash counts whichever other
		// sends were under way.
		Began time.Time
		// Ended is the time at which the server ended, zero if unknown.
		Ended time.Time
		// Of is the fingerprint of the request with its caller, if the crash is recorded
		// for the request from any caller; otherwise it is zero.
		Of Fingerprint
	}

	// Verdict is the decision whether a request may be sent.
	Verdict struct {
		// Refused is set if it may not be sent.
		Refused bool
		// RetryAfter is the time after which a refused request may be retried.
		RetryAfter time.Duration
		// Probation is set if it may be sent and Done must be called after the send.
		Probation bool
	}

	// Entry describes a listed fingerprint to operators.
	Entry struct {
		// Fingerprint is the fingerprint of the requests.
		Fingerprint Fingerprint `json:"fingerprint"`
		// Service is the requests' service.
		Service id.Service `json:"service"`
		// Class is the requests' class.
		Class id.Class `json:"class"`
		// Crashes is the number of crashes.
		Crashes int `json:"sightings"`
		// Quarantined is set if all entries refuse the requests; otherwise they are
		// on probation.
		Quarantined bool `json:"quarantined"`
		// Until is the time at which the state expires.
		Until time.Time `json:"until"`
	}

	// List holds the fingerprints that one entry has reports on. Its fields
	// must not change after the first call. It is safe for concurrent use.
	List struct {
		// Instance is the entry's name.
		Instance id.Instance
		// Hold is the time for which the other entries refuse a fingerprint after its
		// first crash; 0 means 30 s.
		Hold time.Duration
		// Retention is the time for which a crash counts; 0 means 30 min.
		Retention time.Duration
		// Tolerated is the number of crashes that have no effect; the next one
		// quarantines the fingerprint, without probation, unless all sends were under way
		// together. If it is 0, a fingerprint is on probation from its first crash on.
		Tolerated int
		// OnQuarantine, if not nil, is called with the reports of a fingerprint that has
		// become quarantined, at the entry that detected the last of its crashes. It must
		// not block.
		OnQuarantine func(reports []CrashReport)
		// MaxFingerprints is the maximum number of fingerprints; 0 means 10,000. At the
		// limit, the one with the oldest report is evicted.
		MaxFingerprints int

		mu       sync.Mutex
		states   map[Fingerprint]*state
		exchange exchange
		// size is the number of listed fingerprints. Requests take no lock while it
		// is 0.
		size atomic.Int64
	}

	state struct {
		// reports are the reports since the last lift, the earliest first, one for each
		// crashed server.
		reports    []CrashReport
		lastReport time.Time
		liftedAt   time.Time
		running    bool
		announced  bool // OnQuarantine has been called
	}
)

// Check decides whether a request may be sent now.
func (l *List) Check(now time.Time, fp Fingerprint) Verdict {
	if l.size.Load() == 0 {
		return Verdict{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[fp]
	if s == nil {
		return Verdict{}
	}
	if now.Sub(s.lastReport) >= l.retention() {
		l.drop(fp)
		return Verdict{}
	}
	switch held := s.lastReport.Add(l.hold()).Sub(now); {
	case l.quarantined(s):
		return Verdict{Refused: true, RetryAfter: s.lastReport.Add(l.retention()).Sub(now)}
	case len(s.reports) == 0, l.Tolerated > 0:
		return Verdict{}
	case s.reports[0].Instance != l.Instance && held > 0:
		return Verdict{Refused: true, RetryAfter: held}
	case s.running:
		return Verdict{Refused: true, RetryAfter: time.Second}
	}
	s.running = true
	return Verdict{Probation: true}
}

// Quarantined reports whether all entries refuse a fingerprint.
func (l *List) Quarantined(now time.Time, fp Fingerprint) bool {
	if l.size.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[fp]
	return s != nil && l.quarantined(s) && now.Sub(s.lastReport) < l.retention()
}

// Crashes returns the number of crash reports that count for a fingerprint.
func (l *List) Crashes(now time.Time, fp Fingerprint) int {
	if l.size.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[fp]
	if s == nil || now.Sub(s.lastReport) >= l.retention() {
		return 0
	}
	return len(s.reports)
}

// Size returns the number of crash reports and lifts in the list.
func (l *List) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.states {
		n += len(s.reports)
		if !s.liftedAt.IsZero() {
			n++
		}
	}
	return n
}

// Done records the end of a send that Check allowed on probation.
func (l *List) Done(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[fp]; s != nil {
		s.running = false
	}
}

// RecordCrash records that a send crashed a server and returns the report for the
// other entries.
func (l *List) RecordCrash(now time.Time, fp Fingerprint, o Origin) CrashReport {
	report := CrashReport{Fingerprint: fp, Send: o.Send, Server: o.Server, Incarnation: o.Incarnation, Instance: l.Instance, Of: o.Of, Service: o.Service, Class: o.Class, Began: o.Began, Ended: cmp.Or(o.Ended, now), At: now}
	l.mu.Lock()
	if s := l.states[fp]; s != nil && !now.After(s.liftedAt) {
		report.At = s.liftedAt.Add(1) // the lift is of an entry whose clock is ahead
	}
	l.mu.Unlock()
	l.Apply(now, report)
	return report
}

// Clear ends the state of a fingerprint whose request got a complete answer, as it
// doesn't crash every server. It returns the report for the other entries, and false if
// there is no crash report of it, or if it is quarantined and no crash is tolerated.
func (l *List) Clear(now time.Time, fp Fingerprint) (CrashReport, bool) {
	if l.size.Load() == 0 {
		return CrashReport{}, false
	}
	l.mu.Lock()
	s := l.states[fp]
	clears := s != nil && len(s.reports) > 0 && (l.Tolerated > 0 || !l.quarantined(s))
	l.mu.Unlock()
	if !clears {
		return CrashReport{}, false
	}
	return l.Lift(now, fp), true
}

// Lift ends the state of a fingerprint and returns the report for the other entries.
func (l *List) Lift(now time.Time, fp Fingerprint) CrashReport {
	report := CrashReport{Fingerprint: fp, Instance: l.Instance, At: now, Lifted: true}
	l.mu.Lock()
	if s := l.states[fp]; s != nil && s.lastReport.After(now) {
		report.At = s.lastReport // of an entry whose clock is ahead
	}
	l.mu.Unlock()
	l.Apply(now, report)
	return report
}

// Apply applies a report of this entry or another, and reports whether it changed the
// list. Reports may arrive in any order and any number of times.
func (l *List) Apply(now time.Time, report CrashReport) bool {
	if report.At.After(now.Add(maxSkew)) || now.Sub(report.At) >= l.retention() {
		return false
	}
	changed, quarantined := l.apply(now, &report)
	if quarantined != nil && l.OnQuarantine != nil {
		l.OnQuarantine(quarantined)
	}
	return changed
}

// apply reports whether a report changed the list, and returns the reports of its
// fingerprint if OnQuarantine must be called with them.
func (l *List) apply(now time.Time, report *CrashReport) (changed bool, quarantined []CrashReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[report.Fingerprint]
	if s == nil {
		s = l.add(now, report.Fingerprint)
	}
	if report.Lifted {
		changed = s.lift(report.At)
	} else {
		changed = s.record(report)
	}
	if changed {
		l.exchange.valid = false
	}
	if n := len(s.reports); n > 0 && !s.announced && s.reports[n-1].Instance == l.Instance && l.quarantined(s) {
		s.announced = true
		quarantined = slices.Clone(s.reports)
	}
	return changed, quarantined
}

// Active reports whether any fingerprint is listed. Otherwise no request needs to
// be checked.
func (l *List) Active() bool { return l.size.Load() > 0 }

func (l *List) quarantined(s *state) bool {
	if l.Tolerated > 0 {
		return len(s.reports) > l.Tolerated && !s.ofOneCaller() && s.recurred(clockDifference)
	}
	return s.recurred(0)
}

// ofOneCaller reports whether the fingerprint is that of requests from any caller, but all
// of its reports are of one caller. Equal requests of other callers may be harmless.
func (s *state) ofOneCaller() bool {
	first := s.reports[0].Of
	return first != Fingerprint{} && !slices.ContainsFunc(s.reports, func(r CrashReport) bool { return r.Of != first })
}

// recurred reports whether a send crashed a server that was begun after another one had
// crashed a server. Sends that were under way together don't tell a request that crashes
// servers from an outage of several servers at once. Margin is how far the clocks of two
// entries may differ.
func (s *state) recurred(margin time.Duration) bool {
	for i := range s.reports {
		for j := range i {
			if s.reports[i].follows(&s.reports[j], margin) {
				return true
			}
		}
	}
	return false
}

// follows reports whether the send was begun after the server of an earlier report had ended.
func (r *CrashReport) follows(earlier *CrashReport, margin time.Duration) bool {
	ended := cmp.Or(earlier.Ended, earlier.At)
	if r.Instance != earlier.Instance {
		ended = ended.Add(margin)
	}
	return r.Began.IsZero() || !r.Began.Before(ended)
}

// lift removes the reports up to a time, and reports whether the lift is the latest one.
func (s *state) lift(at time.Time) bool {
	if !at.After(s.liftedAt) {
		return false
	}
	s.liftedAt, s.running, s.announced = at, false, false
	s.reports = slices.DeleteFunc(s.reports, func(r CrashReport) bool { return !r.At.After(at) })
	s.updateLastReport()
	return true
}

// record adds a report, and reports whether it counts. Of several of one process, the
// latest counts, and of more than maxReports the latest, so that all entries keep the
// same ones whenever a lift reaches them.
func (s *state) record(report *CrashReport) bool {
	if !report.At.After(s.liftedAt) {
		return false
	}
	known := slices.IndexFunc(s.reports, func(r CrashReport) bool { return r.crash() == report.crash() })
	if known >= 0 {
		if report.compare(&s.reports[known]) <= 0 {
			return false
		}
		s.reports = slices.Delete(s.reports, known, known+1)
	}
	i, _ := slices.BinarySearchFunc(s.reports, report, func(r CrashReport, other *CrashReport) int { return r.compare(other) })
	s.reports = slices.Insert(s.reports, i, *report)
	dropped := len(s.reports) > maxReports
	if dropped {
		s.reports = slices.Delete(s.reports, 0, 1)
	}
	s.updateLastReport()
	return !dropped || i > 0
}

// crash identifies the crash that a report is about: a process crashes once.
func (r *CrashReport) crash() string {
	switch {
	case r.Server == "":
		return r.Send
	case r.Incarnation == 0:
		return string(r.Server)
	default:
		return string(r.Server) + " " + strconv.FormatUint(uint64(r.Incarnation), 10)
	}
}

// compare orders reports of a fingerprint by time.
func (r *CrashReport) compare(o *CrashReport) int {
	return cmp.Or(r.At.Compare(o.At), cmp.Compare(r.Send, o.Send))
}

func (s *state) updateLastReport() {
	s.lastReport = s.liftedAt
	if n := len(s.reports); n > 0 && s.reports[n-1].At.After(s.lastReport) {
		s.lastReport = s.reports[n-1].At
	}
}

// Entries returns the listed fingerprints that have crash reports, sorted by
// fingerprint.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Entry
	for fp, s := range l.states {
		until := s.lastReport.Add(l.retention())
		if len(s.reports) == 0 || !until.After(now) {
			continue
		}
		first := &s.reports[0]
		all = append(all, Entry{Fingerprint: fp, Service: first.Service, Class: first.Class, Crashes: len(s.reports), Quarantined: l.quarantined(s), Until: until})
	}
	slices.SortFunc(all, func(a, b Entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

// add adds a fingerprint to the list.
func (l *List) add(now time.Time, fp Fingerprint) *state {
	if l.states == nil {
		l.states = map[Fingerprint]*state{}
	}
	limit := l.MaxFingerprints
	if limit == 0 {
		limit = defaultMaxFingerprints
	}
	if len(l.states) >= limit {
		l.evict(now, limit)
	}
	s := &state{}
	l.states[fp] = s
	l.size.Store(int64(len(l.states)))
	return s
}

func (l *List) drop(fp Fingerprint) {
	l.exchange.valid = false
	delete(l.states, fp)
	l.size.Store(int64(len(l.states)))
}

// evict removes the expired fingerprints, or the one with the fewest crashes, of these
// the one with the oldest report, if none has expired, so that there is room for another
// one.
func (l *List) evict(now time.Time, limit int) {
	var (
		first Fingerprint
		least *state
	)
	for fp, s := range l.states {
		if now.Sub(s.lastReport) >= l.retention() {
			l.drop(fp)
		} else if least == nil || cmp.Or(cmp.Compare(len(s.reports), len(least.reports)), s.lastReport.Compare(least.lastReport)) < 0 {
			first, least = fp, s
		}
	}
	if len(l.states) >= limit {
		l.drop(first)
	}
}

func (l *List) hold() time.Duration {
	if l.Hold == 0 {
		return defaultHold
	}
	return l.Hold
}

func (l *List) retention() time.Duration {
	if l.Retention == 0 {
		return defaultRetention
	}
	return l.Retention
}
