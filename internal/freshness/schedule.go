package freshness

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// maxPeriod is the age at which the first entry by name reads the store. It is shorter
	// if the bound is below four times this time.
	maxPeriod = time.Second
	// readers is the number of the first entries by name that the leaders of zones ask.
	// There are several, so that one that has lost the store is replaced at once.
	readers = 3
	// leadersPerZone is the number of leaders of a zone, as in package heartbeat.
	leadersPerZone = 2
	// AskTimeout is how long an entry waits for another one's answer.
	AskTimeout = 100 * time.Millisecond
)

// Times in periods.
const (
	// readerStep is the time between the thresholds of two readers.
	readerStep = 0.25
	// actingThreshold is the threshold of an entry whose proof is the store's answer to
	// itself, since it had to read the store in place of the readers. It is above the ages
	// that occur while a reader reads. Of several such entries one remains, as the proofs
	// of the others are replaced by its later ones.
	actingThreshold = 1.5
	// firstThreshold is the threshold of the first entry that isn't a reader. For each
	// doubling of the rank, it rises by thresholdStep: in this time about as many entries
	// learn of a proof by questions as there are up to that rank.
	firstThreshold, thresholdStep = 2.0, 0.12
	// readRetry is the mean delay after a failed read.
	readRetry = 0.5
	// maxReadRetry limits this delay, which grows with the rank after the readers, so that
	// few calls are made while the store is away.
	maxReadRetry = 20.0
	// askDelay is the time from the expected renewal of another entry's proof until it is
	// asked.
	askDelay = 0.1
	// minAskDelay is the least time after an answer.
	minAskDelay = 0.2
	// askRetry is the mean delay after an answer that proves little, askRetrySlow that
	// after manyTries of them.
	askRetry, askRetrySlow = 0.1, 0.5
	manyTries              = 20
	// goodAge is the greatest age after an answer that needs no other one at once.
	goodAge = 1.8
)

type (
	// Peer is another live entry.
	Peer struct {
		// Instance is its name.
		Instance id.Instance
		// Zone is its availability zone.
		Zone id.Zone
		// Address receives its questions, invalid if it takes none.
		Address netip.AddrPort
	}

	// Situation is what a decision depends on.
	Situation struct {
		// Bound is the age up to which a proof counts.
		Bound time.Duration
		// Proved is set if there is a proof, and Age is its age.
		Proved bool
		Age    time.Duration
		// Origin is the entry that has asked the store for the proof, empty if it is this
		// one.
		Origin id.Instance
		// Lacking is the entry that has a newer configuration, empty if there is none.
		Lacking id.Instance
		// Others are the other live entries, sorted by name.
		Others []Peer
		// Draw is a random number from 0 to 1.
		Draw float64
	}

	// Step is what to do next. Its parts are independent.
	Step struct {
		// Read means that the configuration is to be read from the store.
		Read bool
		// Ask is the entry to be asked, without a name if there is none.
		Ask Peer
		// Fetch is the entry to fetch the configuration from, empty if there is none.
		Fetch id.Instance
		// Wait is the time until the next decision, unless a call ends earlier.
		Wait time.Duration
	}

	// Schedule decides when an entry asks whom for a proof. At most one call of each type is
	// in progress. It is not safe for concurrent use.
	Schedule struct {
		// Self is the entry's name.
		Self id.Instance
		// Zone is its availability zone.
		Zone id.Zone

		reading, asking, fetching bool
		askAt, fetchAt            boottime.Instant // not earlier
		urgent                    bool             // read at once, as another entry has a newer configuration
		superseded                id.Version       // the newest version for which urgent was set
		readFailed                bool             // the latest read gave no proof
		readEndedAt               boottime.Instant // the latest read
		jitter                    float64          // of the delay after it
		answered                  bool             // a question has been answered
		tries                     int              // consecutive questions without a good answer
		hint                      id.Instance      // to be asked next, may be empty
	}
)

// Next decides on the next step. The calls in it count as started.
func (s *Schedule) Next(now boottime.Instant, in *Situation) Step {
	period := periodOf(in.Bound)
	step := Step{Wait: period / 4}
	if in.Bound <= 0 {
		return Step{Wait: maxPeriod}
	}
	rank := s.rank(in.Others)
	if due := s.readDue(now, in, rank, period); !s.reading && due <= 0 {
		s.reading, s.urgent, step.Read = true, false, true
	} else if !s.reading {
		step.Wait = min(step.Wait, due)
	}
	if due := s.askDue(now, in, rank, period); !s.asking && due <= 0 {
		if step.Ask = s.target(in, rank); step.Ask.Instance != "" {
			s.asking, s.hint = true, ""
		}
	} else if !s.asking {
		step.Wait = min(step.Wait, due)
	}
	// A read may give it as well, unless the store is away.
	if mayRead := !s.readFailed && (s.urgent || s.reading); in.Lacking != "" && !s.fetching && !mayRead && now >= s.fetchAt {
		s.fetching, step.Fetch = true, in.Lacking
	}
	step.Wait = max(step.Wait, time.Millisecond)
	return step
}

// Superseded records that another entry has a newer configuration, which is read at once. If
// that doesn't give it, it is fetched from that entry.
func (s *Schedule) Superseded(version id.Version) {
	if s.superseded < version {
		s.superseded, s.urgent = version, true
	}
}

// Hint makes the next question one to an entry that has a later proof.
func (s *Schedule) Hint(now boottime.Instant, from id.Instance) {
	s.hint, s.askAt = from, min(s.askAt, now)
}

// ReadEnded records the end of a read. One that gives no proof counts as failed. An entry that
// has read in place of the readers asks another one, so that this asks back.
func (s *Schedule) ReadEnded(now boottime.Instant, in *Situation, proved bool) {
	if proved && s.rank(in.Others) >= readers {
		s.askAt = min(s.askAt, now)
	}
	s.reading, s.readFailed, s.readEndedAt, s.jitter = false, !proved, now, 0.75+in.Draw/2
}

// AskEnded records the end of a question. The age in the situation is that after the answer.
func (s *Schedule) AskEnded(now boottime.Instant, in *Situation, answered bool) {
	s.asking, s.answered = false, s.answered || answered
	period := periodOf(in.Bound)
	age := float64(in.Age) / float64(period)
	switch {
	case answered && in.Proved && age <= goodAge:
		s.tries = 0
		// The asked entry renews its proof when it is a period old.
		s.askAt = now.Add(scale(period, min(max(1-age, 0)+askDelay, 1)+in.Draw*askDelay/2))
		s.askAt = max(s.askAt, now.Add(scale(period, minAskDelay)))
	case !answered && s.tries < manyTries:
		s.tries, s.askAt = s.tries+1, now
	case s.tries < manyTries:
		s.tries, s.askAt = s.tries+1, now.Add(scale(period, askRetry*(0.75+in.Draw/2)))
	default:
		s.tries, s.askAt = s.tries+1, now.Add(scale(period, askRetrySlow*(0.75+in.Draw/2)))
	}
}

// FetchEnded records the end of a fetch.
func (s *Schedule) FetchEnded(now boottime.Instant, in *Situation) {
	s.fetching, s.fetchAt = false, now.Add(scale(periodOf(in.Bound), readRetry))
}

// rank returns the number of live entries before this one by name.
func (s *Schedule) rank(others []Peer) int {
	n := 0
	for i := range others {
		if others[i].Instance < s.Self {
			n++
		}
	}
	return n
}

// readDue returns the time until the store is to be read.
func (s *Schedule) readDue(now boottime.Instant, in *Situation, rank int, period time.Duration) time.Duration {
	if s.urgent {
		return 0
	}
	delay := readRetry
	if s.readFailed {
		delay = min(delay*max(1, float64(rank)/readers), maxReadRetry)
	}
	due := s.readEndedAt.Add(scale(period, delay*s.jitter)).Sub(now)
	if !in.Proved {
		return due
	}
	at := threshold(rank)
	if in.Origin == "" {
		at = min(at, actingThreshold+readerStep*float64(rank)/float64(len(in.Others)+1))
	}
	return max(due, scale(period, at)-in.Age)
}

// threshold returns the age of the proof at which the entry of a rank reads the store, in
// periods.
func threshold(rank int) float64 {
	if rank < readers {
		return 1 + readerStep*float64(rank)
	}
	return firstThreshold + thresholdStep*math.Log2(float64(rank)/readers)
}

// askDue returns the time until another entry is to be asked. The first entry by name asks
// one when it has started, as that may have a configuration that a restored store has lost,
// and then none while it can read the store.
func (s *Schedule) askDue(now boottime.Instant, in *Situation, rank int, period time.Duration) time.Duration {
	due := s.askAt.Sub(now)
	if rank == 0 && in.Proved && !s.readFailed && s.answered {
		due = max(due, scale(period, actingThreshold)-in.Age)
	}
	return due
}

// target returns the entry to ask. After a question without a good answer it is another one of
// the sources, and after these by turns any and one of them.
func (s *Schedule) target(in *Situation, rank int) Peer {
	all := slices.DeleteFunc(slices.Clone(in.Others), func(p Peer) bool { return !p.Address.IsValid() })
	if len(all) == 0 {
		return Peer{}
	}
	if i := slices.IndexFunc(all, func(p Peer) bool { return p.Instance == s.hint }); i >= 0 {
		return all[i]
	}
	first := s.sources(all, in.Origin, rank)
	switch {
	case s.tries < len(first):
		return first[s.tries]
	case s.tries%2 == 0 && len(first) > 0:
		return first[s.tries/2%len(first)]
	}
	return all[min(int(in.Draw*float64(len(all))), len(all)-1)]
}

// sources returns the entries to ask in the first place: the leaders of the zone. Leaders and readers ask the entry that has asked the store for the
// proof, and then the readers.
func (s *Schedule) sources(all []Peer, origin id.Instance, rank int) []Peer {
	var leaders, first []Peer
	for _, p := range all {
		if p.Zone == s.Zone && len(leaders) < leadersPerZone {
			leaders = append(leaders, p)
		}
	}
	leads := len(leaders) < leadersPerZone || s.Self < leaders[leadersPerZone-1].Instance
	if !leads && rank >= readers {
		return leaders
	}
	if i := slices.IndexFunc(all, func(p Peer) bool { return p.Instance == origin }); i >= 0 {
		first = append(first, all[i])
	}
	for _, p := range all[:min(len(all), readers)] {
		if p.Instance != origin {
			first = append(first, p)
		}
	}
	return first
}

func periodOf(bound time.Duration) time.Duration { return min(maxPeriod, bound/4) }

func scale(period time.Duration, n float64) time.Duration {
	return time.Duration(n * float64(period))
}
