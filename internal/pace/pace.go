package pace

import (
	"math"
	"time"
)

// Bounds of the readings that count, so that one that is wrong neither draws all requests to a
// server nor keeps them from it for good.
const (
	// Least is the lowest reading.
	Least = 0.2
	// Greatest is the highest reading.
	Greatest = 5.0
)

const (
	// activeFor is how long a service counts as one whose servers report their pace after
	// the last reading.
	activeFor = time.Minute
	// meanHalfLife is the half-life of a server's mean without readings.
	meanHalfLife = 5 * time.Minute
	// maxReadings bounds the number of readings that a mean covers, and thereby the weight
	// of earlier ones.
	maxReadings = 50
	// priorReadings is the weight of the usual pace in the mean, in independent readings:
	// a few readings of a server say little about its mean.
	priorReadings = 4
	// priorHalfLife is the assumed half-life of a reading until it has been measured.
	priorHalfLife = 150 * time.Millisecond
	// priorWeight is the weight of that assumption, in squared deviations.
	priorWeight = 0.2
	// forget is the weight that each pair of readings takes from the earlier ones.
	forget = 0.02
	// shortestAge is the upper end of the first range of ages; each further range is twice
	// as long. Readings older than the last range are worthless.
	shortestAge = 20 * time.Millisecond
	ranges      = 8
)

type (
	// Service holds what the servers of a service have in common.
	Service struct {
		seen  time.Time
		pairs [ranges]pairs
	}

	// pairs accumulates pairs of successive readings of a server that are about the same
	// time apart.
	pairs struct {
		product float64 // of the two deviations from the server's mean
		square  float64 // mean square of the two deviations
	}

	// Server holds the readings of one server.
	Server struct {
		last float64
		at   time.Time
		// mean is the mean of the readings, and count the number of independent ones that
		// it covers.
		mean  float64
		count float64
	}
)

// Active reports whether servers of the service have reported their pace recently.
func (s *Service) Active(now time.Time) bool {
	return !s.seen.IsZero() && now.Sub(s.seen) < activeFor
}

// Left returns the part, 0 to 1, of a reading's deviation from the mean that is expected to
// be left when the reading is that old.
func (s *Service) Left(age time.Duration) float64 {
	i, ok := ageRange(age)
	if !ok {
		return 0
	}
	p := s.pairs[i]
	prior := math.Exp2(-float64(age) / float64(priorHalfLife))
	return min(max((p.product+priorWeight*prior)/(p.square+priorWeight), 0), 1)
}

// ageRange returns the index of the range of an age, and false if it is beyond the last.
func ageRange(age time.Duration) (int, bool) {
	limit := shortestAge
	for i := range ranges {
		if age < limit {
			return i, true
		}
		limit *= 2
	}
	return 0, false
}

// observe records two readings of a server as deviations from its mean.
func (s *Service) observe(age time.Duration, before, after float64) {
	i, ok := ageRange(age)
	if !ok {
		return
	}
	p := &s.pairs[i]
	p.product += before*after - forget*p.product
	p.square += (before*before+after*after)/2 - forget*p.square
}

// Observe records a reading. Readings that are not positive are ignored.
func (s *Server) Observe(now time.Time, service *Service, reading float64) {
	if !(reading > 0) {
		return
	}
	reading = min(max(reading, Least), Greatest)
	service.seen = now
	// Readings that follow each other closely tell less about the mean.
	independent := 1.0
	if !s.at.IsZero() {
		age, mean := now.Sub(s.at), s.Mean(now)
		independent -= service.Left(age)
		service.observe(age, s.last-mean, reading-mean)
	}
	s.count = min(s.count+independent, maxReadings)
	s.mean += independent / max(s.count, 1) * (reading - s.mean)
	s.last, s.at = reading, now
}

// Mean returns the server's mean, 1 as usual. It is 1 without readings.
func (s *Server) Mean(now time.Time) float64 {
	if s.count == 0 {
		return 1
	}
	weight := s.count / (s.count + priorReadings) * math.Exp2(-float64(now.Sub(s.at))/float64(meanHalfLife))
	return 1 + weight*(s.mean-1)
}

// Estimate returns the expected pace, 1 as usual. It is 1 without readings.
func (s *Server) Estimate(now time.Time, service *Service) float64 {
	if s.count == 0 {
		return 1
	}
	mean := s.Mean(now)
	return mean + service.Left(now.Sub(s.at))*(s.last-mean)
}

// Over returns the expected mean pace over a period that ended with the last reading. The
// reading itself says little about a period in which the pace has changed many times.
func (s *Server) Over(service *Service, period time.Duration) float64 {
	return s.Estimate(s.at.Add(period/2), service)
}

// Age returns the age of the last reading, and false if there is none.
func (s *Server) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(s.at), s.count > 0
}
