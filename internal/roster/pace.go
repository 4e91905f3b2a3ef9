package roster

import "time"

// Pace returns the expected duration of work at the server as a multiple of the usual one.
// It is 1 if the server doesn't report it.
func (m *Member) Pace(now time.Time) float64 {
	if !m.baseline.paced.Load() {
		return 1
	}
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.paceEstimate(now, m.baseline)
}

// MeanPace is like Pace, for the mean over a longer time.
func (m *Member) MeanPace(now time.Time) float64 {
	if !m.baseline.paced.Load() {
		return 1
	}
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.pace.Mean(now)
}

// PaceAge returns the age of the server's last report of its pace, and false if there was
// none.
func (m *Member) PaceAge(now time.Time) (time.Duration, bool) {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return m.state.pace.Age(now)
}

// ReportsPace reports whether servers of this server's service have recently reported their
// pace.
func (m *Member) ReportsPace(now time.Time) bool { return m.baseline.reportsPace(now) }

// Capacity returns the server's slots, as a number of slots of usual pace.
func (m *Member) Capacity(now time.Time) float64 { return float64(m.Slots) / m.Pace(now) }

// paceEstimate returns the expected pace. The caller holds the state's lock.
func (s *state) paceEstimate(now time.Time, b *baseline) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.pace.Estimate(now, &b.pace)
}

// recordPace records the pace that the report of an answer holds and returns the expected
// pace during the request, 1 if the report holds none. The caller holds the state's lock.
func (m *Member) recordPace(now time.Time, o *Outcome) float64 {
	if o.Load.Pace <= 0 {
		return 1
	}
	m.baseline.mu.Lock()
	defer m.baseline.mu.Unlock()
	m.state.pace.Observe(now, &m.baseline.pace, o.Load.Pace)
	m.baseline.paced.Store(true)
	return m.state.pace.Over(&m.baseline.pace, o.Latency)
}

func (b *baseline) reportsPace(now time.Time) bool {
	if !b.paced.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace.Active(now) {
		return true
	}
	b.paced.Store(false)
	return false
}
