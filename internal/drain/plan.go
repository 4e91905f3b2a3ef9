package drain

import (
	"math"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// UsedAge is the greatest age of a region's used slots that a plan rests on.
const UsedAge = time.Minute

type (
	// Member is a backend server that is to leave and come back in the round.
	Member struct {
		// Name is the server's name.
		Name id.Server
		// Region is the region that it stands in.
		Region id.Region
		// Slots is how many requests it runs at the same time.
		Slots int
	}

	// Region is a region with the load that it must go on carrying.
	Region struct {
		// Name is the region's name.
		Name id.Region
		// Slots is the sum over all of its servers that serve now.
		Slots int
		// Floor is the share of the slots, 0 to 1, that must stay free.
		Floor float64
		// Used is the greatest number of slots in use that is expected.
		Used measured.Value[float64]
	}

	// Job is a round of planned drains.
	Job struct {
		// Members lists the servers, in the order wished for.
		Members []Member
		// Regions lists their regions.
		Regions []Region
		// Drain is the drain time of each server.
		Drain time.Duration
		// Restart is how long a server is away after its drain.
		Restart time.Duration
		// Warm is how long its slow start takes.
		Warm time.Duration
	}

	// Batch is servers that leave together.
	Batch struct {
		// Start is when they leave, counted from the start of the round.
		Start time.Duration
		// Servers are their names.
		Servers []id.Server
	}

	// Headroom is the least share of a region's slots that stays free.
	Headroom struct {
		// Region is the region's name.
		Region id.Region
		// Least is the share in the fullest batch.
		Least float64
		// Floor is the region's floor.
		Floor float64
	}

	// Skipped is a server that is not in the round.
	Skipped struct {
		// Server is the server's name.
		Server id.Server
		// Reason says why.
		Reason string
	}

	// Plan says which servers leave together.
	Plan struct {
		// Batches is in the order of their start.
		Batches []Batch
		// Headroom has an item for each region with a server in the round.
		Headroom []Headroom
		// Skipped lists the servers that are left out.
		Skipped []Skipped

		job Job
	}

	budget struct {
		away  int // slots that may be away at the same time
		most  int // slots that are away in the fullest batch
		used  float64
		valid bool
		text  string
	}
)

// NewPlan plans a round. Nothing in a region leaves if the region's load or
// floor is unknown or impossible, nor does a server that is too large for its
// region's headroom.
func NewPlan(now time.Time, job Job) *Plan {
	p := &Plan{job: job}
	budgets := make(map[id.Region]*budget)
	for _, r := range job.Regions {
		budgets[r.Name] = budgetOf(now, r)
	}
	rest := p.admit(job.Members, budgets)
	length := p.batchTime()
	for len(rest) > 0 {
		var batch Batch
		batch.Start = time.Duration(len(p.Batches)) * length
		batch.Servers, rest = take(rest, budgets)
		p.Batches = append(p.Batches, batch)
	}
	p.setHeadroom(budgets)
	return p
}

// Length returns how long the round takes, the last slow start included.
func (p *Plan) Length() time.Duration {
	return time.Duration(len(p.Batches)) * p.batchTime()
}

// Fits tells whether the round takes at most a time.
func (p *Plan) Fits(in time.Duration) bool { return p.Length() <= in }

// Longest returns the longest drain time with which the round takes at most a
// time; 0 if there is none.
func (p *Plan) Longest(in time.Duration) time.Duration {
	if len(p.Batches) == 0 {
		return 0
	}
	return max(in/time.Duration(len(p.Batches))-max(p.job.Restart, 0)-max(p.job.Warm, 0), 0)
}

func (p *Plan) batchTime() time.Duration {
	return max(p.job.Drain, 0) + max(p.job.Restart, 0) + max(p.job.Warm, 0)
}

// admit returns the members that can leave at all, and notes the others.
func (p *Plan) admit(members []Member, budgets map[id.Region]*budget) []Member {
	var rest []Member
	for _, m := range members {
		b := budgets[m.Region]
		reason := ""
		switch {
		case b == nil:
			reason = "its region is not known"
		case !b.valid:
			reason = b.text
		case m.Slots < 1:
			reason = "it has no slots"
		case m.Slots > b.away:
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

// take returns the servers that fit in one batch, and the members that remain.
func take(members []Member, budgets map[id.Region]*budget) (names []id.Server, rest []Member) {
	away := make(map[id.Region]int)
	for _, m := range members {
		b := budgets[m.Region]
		if away[m.Region]+m.Slots > b.away {
			rest = append(rest, m)
			continue
		}
		away[m.Region] += m.Slots
		b.most = max(b.most, away[m.Region])
		names = append(names, m.Name)
	}
	return names, rest
}

func (p *Plan) setHeadroom(budgets map[id.Region]*budget) {
	for _, r := range p.job.Regions {
		if b := budgets[r.Name]; b.valid && b.most > 0 {
			free := float64(r.Slots-b.most) - b.used
			p.Headroom = append(p.Headroom, Headroom{Region: r.Name, Least: free / float64(r.Slots), Floor: r.Floor})
		}
	}
	slices.SortFunc(p.Headroom, func(a, b Headroom) int {
		if a.Region < b.Region {
			return -1
		}
		return 1
	})
}

func budgetOf(now time.Time, r Region) *budget {
	used, state := r.Used.Read(now, UsedAge)
	switch {
	case state != measured.Fresh:
		return &budget{text: "the load of its region is " + state.String()}
	case !(used >= 0) || math.IsInf(used, 0):
		return &budget{text: "the load of its region is impossible"}
	case !(r.Floor >= 0 && r.Floor < 1) || r.Slots < 1:
		return &budget{text: "the floor or the slots of its region are impossible"}
	}
	const rounding = 1e-9
	away := float64(r.Slots)*(1-r.Floor) - used + rounding
	return &budget{away: int(math.Floor(max(away, 0))), used: used, valid: true}
}
