package admitorder

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// floor is the fraction of the mean that each class and organisation gets at least.
	floor = 0.25
	// side is the range of draws on each side of the place below which requests are refused,
	// and fullySharp the fraction of refused or served requests from which it is.
	side       = 0.25
	fullySharp = 0.1
	// minDemand is the fraction of the demand from which the objective of a class counts for
	// less urgent ones.
	minDemand = 0.02
	// unaffected is the fraction of the usual demand whose growth doesn't count as growth
	// of all: two thirds of the demand may exceed their shares at once before those
	// raise the shares.
	unaffected = 1.0 / 3
	// noise is the number of standard deviations of the recent demand within which it
	// isn't above a share, and allowance the rate that never is.
	noise     = 2.5
	allowance = 2.0
	// growthSteps and maxGrowth are the resolution and the range of the histogram of
	// growth: steps of 1/8 in the binary logarithm, up to a growth of 256.
	growthSteps = 8
	maxGrowth   = 8
)

type (
	// demand is that of a class.
	demand struct {
		// recent is the rate of all requests, and beyond that of those above their shares.
		recent, beyond, usual float64
		cells                 int
		// established is the usual demand of the organisations that are in growth.
		established float64
		// grown is by how much the demand of all has grown, least the smallest usual demand
		// that counts: the mean of the organisations.
		grown, least float64
		// growth is the usual demand of the cells by how much it has grown.
		growth [maxGrowth*growthSteps + 1]float64
	}

	// parts divide the order among the classes.
	parts struct {
		classes []classParts
		// guaranteed is the part of those that are ordered before all others.
		guaranteed part
		// refused is the fraction of the requests that were refused recently.
		refused float64
	}

	// classParts are the parts of one class.
	classParts struct {
		within, above part
		// promoted is the fraction of the requests that are guaranteed.
		promoted float64
		// objective is the shortest objective of the classes that are at least as urgent.
		objective time.Duration
	}

	// part is a range of places.
	part struct{ from, width float64 }
)

// compare orders classes by urgency, the most urgent first. Classes that differ in their kind
// alone are equal.
func (c *Class) compare(o *Class) int {
	return cmp.Or(cmp.Compare(c.Priority, o.Priority), cmp.Compare(c.RoutePriority, o.RoutePriority))
}

// step updates the averages and the parts.
func (r *record) step(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() {
		r.began, r.at = now, now
		return
	}
	took := now.Sub(r.at)
	if took <= 0 {
		return
	}
	r.at = now
	known := *r.known.Load()
	r.demands = slices.Grow(r.demands[:0], len(known))[:len(known)]
	clear(r.demands)
	r.average(now, took)
	r.divide(now)
	r.parts.Store(newParts(known, r.demands, r.servedFraction()))
}

// average updates the averages of the cells and sums them up by class.
func (r *record) average(now time.Time, took time.Duration) {
	// Organisations whose callers have come from other entries are not compared with what they
	// requested here before.
	established := min(now.Sub(r.began)/2, usualTime)
	past := math.Exp(-took.Seconds() / recentTime.Seconds())
	r.outcomes.decided, r.outcomes.refused = r.outcomes.decided*past, r.outcomes.refused*past
	for i := range r.shards {
		s := &r.shards[i]
		var idle []cellKey
		for key, c := range *s.cells.Load() {
			c.average(now, took, past)
			r.outcomes.refused += float64(c.refused.Swap(0))
			r.outcomes.decided += float64(c.decided.Swap(0))
			if c.recent+c.repeats < idleDemand && c.usual < idleDemand {
				idle = append(idle, key)
				continue
			}
			d := &r.demands[key.class]
			d.recent += c.recent + c.repeats
			d.usual += c.usual
			d.cells++
			if now.Sub(c.began) >= established {
				d.growth[growthIndex(c.recent, c.usual)] += c.usual
				d.established += c.usual
			}
		}
		r.forget(s, idle)
	}
}

// average updates the averages. At first the usual demand is the mean since the organisation
// was first seen, so that callers that come from other entries aren't above a share of 0 for
// long. What is above the share raises the usual demand slowly. The weight of the past recent
// demand is past.
func (c *cell) average(now time.Time, took time.Duration, past float64) {
	if c.began.IsZero() {
		c.began = now.Add(-took)
	}
	early := min(took.Seconds()/min(usualTime, now.Sub(c.began)).Seconds(), 1)
	slow := min(took.Seconds()/usualTime.Seconds(), 1)
	repeated := float64(c.repeated.Swap(0)) / took.Seconds()
	arrived := float64(c.arrived.Swap(0))/took.Seconds() - repeated
	c.recent = c.recent*past + arrived*(1-past)
	c.repeats = c.repeats*past + repeated*(1-past)
	above := c.above()
	c.usual += ((1-above)*arrived-c.usual)*early + above*arrived*slow
}

// divide determines which requests are above their organisations' shares.
func (r *record) divide(now time.Time) {
	known := *r.known.Load()
	for i := range r.demands {
		all := r.pool(known, i)
		r.demands[i].grown, r.demands[i].least = all.commonGrowth(), all.usual/max(float64(all.cells), 1)
	}
	// A greater fraction above the share would leave less than the floor within it.
	most := 1 - floor*r.servedFraction()
	for i := range r.shards {
		cells := *r.shards[i].cells.Load()
		for key, c := range cells {
			c.part = r.demands[key.class].above(c, most, now.Sub(c.began) >= settlingTime)
		}
		for key, c := range cells {
			above := c.part
			for j := range known {
				// Otherwise the less urgent requests of an organisation above its share could
				// be before its urgent ones.
				if known[j].compare(&known[key.class]) >= 0 {
					continue
				}
				if o := cells[cellKey{key.organisation, j}]; o != nil {
					above = max(above, o.part)
				}
			}
			c.aboveFrac.store(above)
			r.demands[key.class].beyond += c.recent*above + c.repeats
		}
	}
}

// pool returns the usual demand of the classes that differ from one in the organisations'
// priorities alone.
func (r *record) pool(known []Class, class int) demand {
	var all demand
	for i := range known {
		same := known[i]
		if same.Priority = known[class].Priority; same != known[class] {
			continue
		}
		d := &r.demands[i]
		all.usual += d.usual
		all.cells += d.cells
		all.established += d.established
		for k := range d.growth {
			all.growth[k] += d.growth[k]
		}
	}
	return all
}

// above returns the fraction of a cell's requests that are above the share, at most the given one.
func (d *demand) above(c *cell, most float64, settled bool) float64 {
	share := d.grown * max(c.usual, d.least)
	if !settled || c.recent <= share+allowance+noise*math.Sqrt(share/(2*recentTime.Seconds())) {
		return 0
	}
	return min(1-share/c.recent, most)
}

// commonGrowth returns by how much the demand of all organisations has grown, at least 1.
func (d *demand) commonGrowth() float64 {
	sum := 0.0
	for i, usual := range d.growth {
		if sum += usual; sum > d.established*unaffected {
			return math.Exp2(float64(i) / growthSteps)
		}
	}
	return 1
}

// growthIndex returns the index of a growth in the histogram.
func growthIndex(recent, usual float64) int {
	if recent <= usual || usual <= 0 {
		return 0
	}
	return int(min(math.Ceil(math.Log2(recent/usual)*growthSteps), maxGrowth*growthSteps))
}

// servedFraction returns the fraction of the requests that were served recently.
func (r *record) servedFraction() float64 {
	if r.outcomes.decided <= 0 {
		return 1
	}
	return min(max(1-r.outcomes.refused/r.outcomes.decided, 0), 1)
}

// newParts divides the order among the classes, of which a mean fraction is served.
func newParts(known []Class, demands []demand, mean float64) *parts {
	total := 0.0
	for i := range demands {
		total += demands[i].recent
	}
	p := &parts{classes: make([]classParts, len(known)), refused: 1 - mean}
	if total <= 0 {
		p.guaranteed = part{1, 0}
		for i := range p.classes {
			p.classes[i].within, p.classes[i].above = part{0, 1}, part{0, 1}
		}
		return p
	}
	order := make([]int, len(known))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return known[b].compare(&known[a]) })
	urgent := mostUrgent(known, demands)
	for i := range known {
		if known[i].compare(&known[urgent]) > 0 {
			p.classes[i].promoted = floor * mean
		}
	}
	for i := range known {
		p.classes[i].objective = shortestObjective(known, demands, total, i)
	}
	at := 0.0
	at = p.assign(known, order, at, func(i int) (*part, float64) {
		return &p.classes[i].above, demands[i].beyond / total * (1 - p.classes[i].promoted)
	})
	at = p.assign(known, order, at, func(i int) (*part, float64) {
		return &p.classes[i].within, max(demands[i].recent-demands[i].beyond, 0) / total * (1 - p.classes[i].promoted)
	})
	p.guaranteed = part{min(at, 1), max(1-at, 0)}
	return p
}

// mostUrgent returns the index of the most urgent class that has demand.
func mostUrgent(known []Class, demands []demand) int {
	first := leastUrgent(known)
	for i := range known {
		if demands[i].recent > 0 && known[i].compare(&known[first]) < 0 {
			first = i
		}
	}
	return first
}

// shortestObjective returns the shortest objective of a class and of those that are at least as
// urgent and have demand, 0 if none has one.
func shortestObjective(known []Class, demands []demand, total float64, class int) time.Duration {
	shortest := known[class].Objective
	for i := range known {
		o := known[i].Objective
		if o > 0 && (shortest == 0 || o < shortest) && known[i].compare(&known[class]) <= 0 && demands[i].recent > total*minDemand {
			shortest = o
		}
	}
	return shortest
}

// assign assigns ranges from a place on, in the given order. Classes of the same urgency
// share one range. It returns the place after the last one.
func (p *parts) assign(known []Class, order []int, at float64, of func(class int) (*part, float64)) float64 {
	for len(order) > 0 {
		n := 1
		for n < len(order) && known[order[n]].compare(&known[order[0]]) == 0 {
			n++
		}
		width := 0.0
		for _, i := range order[:n] {
			_, w := of(i)
			width += w
		}
		for _, i := range order[:n] {
			to, _ := of(i)
			*to = part{at, width}
		}
		at, order = at+width, order[n:]
	}
	return at
}

// place returns the place of a request of a class, of whose organisation a fraction is above
// the share.
func (p *parts) place(class int, above float64, repeated bool, draw float64) Place {
	c := &p.classes[class]
	out, in := Place{Objective: c.objective, Share: Within}, c.within
	switch {
	case repeated:
		out.Share, in = Above, c.above
	case draw < above:
		out.Share, in, draw = Above, c.above, draw/above
	default:
		draw = (draw - above) / (1 - above)
	}
	if rest := 1 - c.promoted; draw >= rest && c.promoted > 0 {
		out.Guaranteed, in, draw = true, p.guaranteed, (draw-rest)/c.promoted
	} else {
		draw /= rest
	}
	out.At = min(in.from+draw*in.width, 1)
	out.Draw = p.sharpen(out.At)
	return out
}

// sharpen moves places away from the one below which requests were refused recently. The
// servers' load, by which requests are refused, changes from moment to moment; without this,
// each change would refuse some of the requests far above that place. It does so the more, the
// greater the smaller one of the fractions refused and served is.
func (p *parts) sharpen(place float64) float64 {
	refused := p.refused
	moved := 1 - side*(1-place)/(1-refused)
	if place < refused {
		moved = side * place / refused
	}
	return moved
}
