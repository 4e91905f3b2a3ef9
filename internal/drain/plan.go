package drain

import (
	"math"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// MaxUsageAge is the maximum age of a region's number of used slots; a plan treats
// an older number as unknown.
const MaxUsageAge = time.Minute

type (
	// Member is a backend server that is drained and restarted in the round.
	Member struct {
		// Name is the server's name.
		Name id.Server
		// Region is the region that it is located in.
		Region id.Region
		// Slots is the server's concurrency limit.
		Slots int
	}

	// Region is a region with the load that it has to serve during the round.
	Region struct {
		// Name is the region's name.
		Name id.Region
		// Slots is the sum of the slots of all servers that serve now.
		Slots int
		// Floor is the share of the slots, 0 to 1, that must stay free.
		Floor float64
		// Used is the greatest expected number of slots in use.
		Used measured.Value[float64]
	}

	// Job is a round of planned drains.
	Job struct {
		// Members lists the servers, in the preferred order.
		Members []Member
		// Regions lists the regions of the servers.
		Regions []Region
		// Drain is the drain time of each server.
		Drain time.Duration
		// Restart is how long a server is unavailable after its drain.
		Restart time.Duration
		// SlowStart is the duration of its slow start.
		SlowStart time.Duration
	}

	// Batch is a group of servers that leave at the same time.
	Batch struct {
		// Start is when they leave, counted from the start of the round.
		Start time.Duration
		// Servers lists their names.
		Servers []id.Server
	}

	// Headroom is the share of a region's slots that stays free in the round.
	Headroom struct {
		// Region is the region's name.
		Region id.Region
		// Min is the smallest share over all batches.
		Min float64
		// Floor is the region's floor.
		Floor float64
	}

	// Skipped is a server that is not in the round.
	Skipped struct {
		// Server is the server's name.
		Server id.Server
		// Reason is the reason, as a clause without a capital or a period.
		Reason string
	}

	// Plan is the grouping of a round's servers into batches.
	Plan struct {
		// Batches lists the batches in the order of their start.
		Batches []Batch
		// Headroom lists each region with a server in the round, by name.
		Headroom []Headroom
		// Skipped lists the servers that are left out.
		Skipped []Skipped

		job Job
	}

	budget struct {
		maxAway  int // slots that may be unavailable at the same time
		peakAway int // slots that are unavailable in the largest batch
		used     float64
		valid    bool
		reason   string
	}
)

// NewPlan plans a round. It skips all servers of a region whose load or floor is
// unknown or impossible, and each server with more slots than its region's
// headroom allows to be unavailable.
func NewPlan(now time.Time, job Job) *Plan {
	p := &Plan{job: job}
	budgets := make(map[id.Region]*budget)
	for _, r := range job.Regions {
		budgets[r.Name] = newBudget(now, r)
	}
	rest := p.admit(job.Members, budgets)
	length := p.batchTime()
	for len(rest) > 0 {
		var batch Batch
		batch.Start = time.Duration(len(p.Batches)) * length
		batch.Servers, rest = fillBatch(rest, budgets)
		p.Batches = append(p.Batches, batch)
	}
	p.setHeadroom(budgets)
	return p
}

// Length returns the duration of the round, the last slow start included.
func (p *Plan) Length() time.Duration {
	return time.Duration(len(p.Batches)) * p.batchTime()
}

// Fits reports whether the round takes at most the given time.
func (p *Plan) Fits(in time.Duration) bool { return p.Length() <= in }

// MaxDrainTime returns the longest drain time with which the round takes at most
// the given time; 0 if there is none.
func (p *Plan) MaxDrainTime(in time.Duration) time.Duration {
	if len(p.Batches) == 0 {
		return 0
	}
	return max(in/time.Duration(len(p.Batches))-max(p.job.Restart, 0)-max(p.job.SlowStart, 0), 0)
}

func (p *Plan) batchTime() time.Duration {
	return max(p.job.Drain, 0) + max(p.job.Restart, 0) + max(p.job.SlowStart, 0)
}

// admit returns the members that can be in a batch, and records the others as
// skipped.
func (p *Plan) admit(members []Member, budgets map[id.Region]*budget) []Member {
	var rest []Member
	for _, m := range members {
		b := budgets[m.Region]
		reason := ""
		switch {
		case b == nil:
			reason = "its region is not known"
		case !b.valid:
			reason = b.reason
		case m.Slots < 1:
			reason = "it has no slots"
		case m.Slots > b.maxAway:
			reason = "without it the region's headroom would fall under its floor"
		}
		if reason != "" {
			p.Skipped = append(p.Skipped, Skipped{Server: m.Name, Reason: reason})
			continue
		}
		rest = append(rest, m)
	}
	return rest
}

// fillBatch returns the servers that fit into one batch, and the remaining members.
func fillBatch(members []Member, budgets map[id.Region]*budget) (names []id.Server, rest []Member) {
	away := make(map[id.Region]int)
	for _, m := range members {
		b := budgets[m.Region]
		if away[m.Region]+m.Slots > b.maxAway {
			rest = append(rest, m)
			continue
		}
		away[m.Region] += m.Slots
		b.peakAway = max(b.peakAway, away[m.Region])
		names = append(names, m.Name)
	}
	return names, rest
}

func (p *Plan) setHeadroom(budgets map[id.Region]*budget) {
	for _, r := range p.job.Regions {
		if b := budgets[r.Name]; b.valid && b.peakAway > 0 {
			free := float64(r.Slots-b.peakAway) - b.used
			p.Headroom = append(p.Headroom, Headroom{Region: r.Name, Min: free / float64(r.Slots), Floor: r.Floor})
		}
	}
	slices.SortFunc(p.Headroom, func(a, b Headroom) int {
		if a.Region < b.Region {
			return -1
		}
		return 1
	})
}

func newBudget(now time.Time, r Region) *budget {
	used, state := r.Used.Read(now, MaxUsageAge)
	switch {
	case state != measured.Fresh:
		return &budget{reason: "the load of its region is " + state.String()}
	case !(used >= 0) || math.IsInf(used, 0):
		return &budget{reason: "the load of its region is negative or not finite"}
	case !(r.Floor >= 0 && r.Floor < 1) || r.Slots < 1:
		return &budget{reason: "the floor or the slots of its region are out of range"}
	}
	const rounding = 1e-9
	away := float64(r.Slots)*(1-r.Floor) - used + rounding
	return &budget{maxAway: int(math.Floor(max(away, 0))), used: used, valid: true}
}
