package model

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// longWindow is the number of samples in the longer window over which the load is
	// compared.
	longWindow = 20
	// swingTime is the time within which a server that goes from idle to full and back
	// has oscillated.
	swingTime = 2 * time.Second
)

type (
	// spread records how the load is spread over the servers.
	spread struct {
		model  *Model
		index  map[*server]int
		states []serverSpread
		// samples holds each server's mean number of requests, by window.
		samples [][]float64
		// counts holds the number of requests that each server got, by window.
		counts [][]float64
		waits  []wait
		swings []time.Duration // times of oscillations
	}

	serverSpread struct {
		sum    float64 // request-seconds in the current window
		since  time.Time
		count  float64
		load   int       // present number of requests
		busyAt time.Time // end of the last time without requests
		full   bool      // it has been full since
	}

	// wait is a request that a server has completed.
	wait struct {
		at       time.Duration
		needless bool
	}

	// Spread summarises how evenly a load is spread over the servers in a period.
	Spread struct {
		// Short and Long are the coefficients of variation of the servers' numbers of
		// requests over windows of 100 ms and 2 s.
		Short float64 `json:"short"`
		Long  float64 `json:"long"`
		// Busiest is the greatest number of requests that a server got, as a multiple
		// of the mean.
		Busiest float64 `json:"busiest"`
		// Needless is the share of requests that took longer, because they had to
		// wait, than they would have at a server with a free slot.
		Needless float64 `json:"needless"`
		// Oscillations is the number of times that a server went from idle to full
		// and back within 2 s, per server and minute.
		Oscillations float64 `json:"oscillations"`
	}
)

func newSpread(m *Model) spread {
	s := spread{model: m, index: make(map[*server]int), states: make([]serverSpread, len(m.servers.all))}
	for i, sv := range m.servers.all {
		s.index[sv] = i
		s.states[i] = serverSpread{since: m.start}
	}
	return s
}

// arrive records that a server gets a request.
func (s *spread) arrive(sv *server) { s.states[s.index[sv]].count++ }

// note records a change of a server's number of requests.
func (s *spread) note(sv *server) {
	st, now := &s.states[s.index[sv]], s.model.now
	st.sum += float64(st.load) * now.Sub(st.since).Seconds()
	before := st.load
	st.since, st.load = now, sv.running+len(sv.waiting)
	if before == 0 && st.load > 0 {
		st.busyAt = now
	}
	if before > 0 && st.load == 0 {
		if st.full && now.Sub(st.busyAt) <= swingTime {
			s.swings = append(s.swings, now.Sub(s.model.start))
		}
		st.full = false
	}
	st.full = st.full || sv.running >= s.model.Service.Slots
}

// complete records a completed job.
func (s *spread) complete(j *job, now time.Time) {
	took := now.Sub(j.arrived)
	s.waits = append(s.waits, wait{now.Sub(s.model.start), j.sooner > 0 && took > j.sooner})
}

// sample ends a window.
func (s *spread) sample() {
	loads, counts := make([]float64, len(s.states)), make([]float64, len(s.states))
	for i, sv := range s.model.servers.all {
		s.note(sv)
		loads[i], counts[i] = s.states[i].sum/stepInterval.Seconds(), s.states[i].count
		s.states[i].sum, s.states[i].count = 0, 0
	}
	s.samples, s.counts = append(s.samples, loads), append(s.counts, counts)
}

// Spread returns how evenly the load was spread in a period.
func (r *Report) Spread(from, to time.Duration) Spread {
	s := r.spread
	first, last := int(from/stepInterval), min(int(to/stepInterval), len(s.samples))
	out := Spread{Short: variation(s.samples[first:last], 1), Long: variation(s.samples[first:last], longWindow)}
	total := sums(s.counts[first:last])
	mean := stat.Mean(total, nil)
	for _, n := range total {
		out.Busiest = max(out.Busiest, n/math.Max(mean, 1))
	}
	needless, all := 0.0, 0.0
	for _, w := range s.waits {
		if w.at >= from && w.at < to {
			if all++; w.needless {
				needless++
			}
		}
	}
	out.Needless = needless / math.Max(all, 1)
	for _, at := range s.swings {
		if at >= from && at < to {
			out.Oscillations++
		}
	}
	out.Oscillations /= float64(len(s.states)) * (to - from).Minutes()
	return out
}

// variation returns the mean coefficient of variation over windows of n samples.
func variation(samples [][]float64, n int) float64 {
	sum, windows := 0.0, 0.0
	for ; len(samples) >= n; samples = samples[n:] {
		load := sums(samples[:n])
		if mean, deviation := stat.PopMeanStdDev(load, nil); mean > 0 {
			sum += deviation / mean
			windows++
		}
	}
	return sum / math.Max(windows, 1)
}

// sums adds samples server by server.
func sums(samples [][]float64) []float64 {
	out := make([]float64, len(samples[0]))
	for _, one := range samples {
		for i, v := range one {
			out[i] += v
		}
	}
	return out
}
