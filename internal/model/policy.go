package model

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// noLimit disables a limit of a dispatcher.
	noLimit = 1e9
	// spillLimit bounds the requests in flight from one entry to a server once
	// the entry has filled the slots of all servers, as a multiple of the
	// server's slots.
	spillLimit = 4
	// hashMultiplier is the multiplier of a multiplicative hash of timestamps.
	hashMultiplier = 0x9e3779b97f4a7c15
)

type (
	// Policy creates the Chooser of an entry.
	Policy func(r *roster.Roster, region id.Region) Chooser

	// spill selects the highest ranked server with a free slot, counting only
	// the entry's own requests, and else the highest ranked server below
	// spillLimit.
	spill struct{ roster *roster.Roster }

	// randomRanking ranks the servers at random for each request instead of by
	// object.
	randomRanking struct{ next dispatch.Dispatcher }

	// ignoreTimes queues without regard to objectives and deadlines.
	ignoreTimes struct{ next dispatch.Dispatcher }

	// ignorePlacement lets each object have the owner that rendezvous hashing gives it.
	ignorePlacement struct{ next dispatch.Dispatcher }
)

// Policies returns the policies that can be compared, by name.
func Policies() map[string]Policy {
	limited := func(l dispatch.Limits) Policy {
		return func(r *roster.Roster, region id.Region) Chooser {
			return &dispatch.Dispatcher{Roster: r, Region: region, Limits: l}
		}
	}
	return map[string]Policy{
		"owners": limited(dispatch.Limits{}),
		"spill": func(r *roster.Roster, _ id.Region) Chooser {
			return spill{r}
		},
		"random": func(r *roster.Roster, region id.Region) Chooser {
			return &randomRanking{dispatch.Dispatcher{Roster: r, Region: region}}
		},
		"untimed": func(r *roster.Roster, region id.Region) Chooser {
			return &ignoreTimes{dispatch.Dispatcher{Roster: r, Region: region}}
		},
		"unplaced": func(r *roster.Roster, region id.Region) Chooser {
			return &ignorePlacement{dispatch.Dispatcher{Roster: r, Region: region}}
		},
		"longQueues":    limited(dispatch.Limits{FullQueue: 4, Overflow: 4, QueueObjectives: noLimit}),
		"spillBusy":     limited(dispatch.Limits{SpareLoad: 0.8}),
		"spillLessBusy": limited(dispatch.Limits{FullQueue: 1, SpareLoad: 1.5, Overflow: 4, QueueObjectives: noLimit}),
		"freeFamiliar":  limited(dispatch.Limits{WarmShare: 1e-9}),
	}
}

// Choose implements Chooser.
func (p spill) Choose(now time.Time, req *dispatch.Request) dispatch.Choice {
	for _, limit := range []float64{1, spillLimit} {
		var best *roster.Member
		for _, m := range p.roster.View().Members(req.Service) {
			if float64(m.InFlight()) < limit*float64(m.Slots) && m.Ready(now) &&
				(best == nil || owner.Score(req.Key, m.Seed) > owner.Score(req.Key, best.Seed)) {
				best = m
			}
		}
		if best != nil && best.Begin(now) {
			return dispatch.Choice{Server: best}
		}
	}
	return dispatch.Choice{}
}

// Choose implements Chooser.
func (p *randomRanking) Choose(now time.Time, req *dispatch.Request) dispatch.Choice {
	other := *req
	other.Key = uint64(now.UnixNano()) * hashMultiplier
	return p.next.Choose(now, &other)
}

// Choose implements Chooser.
func (p *ignoreTimes) Choose(now time.Time, req *dispatch.Request) dispatch.Choice {
	other, rt := *req, *req.Route
	rt.Objective, other.Left, other.Route = 0, 0, &rt
	return p.next.Choose(now, &other)
}

// Choose implements Chooser.
func (p *ignorePlacement) Choose(now time.Time, req *dispatch.Request) dispatch.Choice {
	other := *req
	other.Recurring = false
	return p.next.Choose(now, &other)
}
