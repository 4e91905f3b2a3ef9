package model

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// noLimit switches a limit of a dispatcher off.
	noLimit = 1e9
	// spillLimit is how many requests of its own an entry that spills sends to a
	// server while all are full, in multiples of the server's slots.
	spillLimit = 4
	// mixer spreads times over all numbers.
	mixer = 0x9e3779b97f4a7c15
)

type (
	// Policy makes an entry's policy.
	Policy func(r *roster.Roster, region id.Region) Chooser

	// spillAtOnce sends to the highest ranked server with a free slot, by the
	// entry's own count, and else to the highest ranked one.
	spillAtOnce struct{ roster *roster.Roster }

	// noOwners sends each request to a server of its own.
	noOwners struct{ next dispatch.Dispatcher }

	// noTimes queues without regard to the time that requests have.
	noTimes struct{ next dispatch.Dispatcher }
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
			return spillAtOnce{r}
		},
		"random": func(r *roster.Roster, region id.Region) Chooser {
			return &noOwners{dispatch.Dispatcher{Roster: r, Region: region}}
		},
		"untimed": func(r *roster.Roster, region id.Region) Chooser {
			return &noTimes{dispatch.Dispatcher{Roster: r, Region: region}}
		},
		"longQueues":    limited(dispatch.Limits{FullQueue: 4, Overflow: 4, QueueObjectives: noLimit}),
		"spillBusy":     limited(dispatch.Limits{SpareLoad: 0.8}),
		"spillLessBusy": limited(dispatch.Limits{FullQueue: 1, SpareLoad: 1.5, Overflow: 4, QueueObjectives: noLimit}),
		"freeFamiliar":  limited(dispatch.Limits{FamiliarShare: 1e-9}),
	}
}

// Choose implements Chooser.
func (p spillAtOnce) Choose(now time.Time, req *dispatch.Request) dispatch.Choice {
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
func (p *noOwners) Choose(now time.Time, req *dispatch.Request) dispatch.Choice {
	other := *req
	other.Key = uint64(now.UnixNano()) * mixer
	return p.next.Choose(now, &other)
}

// Choose implements Chooser.
func (p *noTimes) Choose(now time.Time, req *dispatch.Request) dispatch.Choice {
	other, rt := *req, *req.Route
	rt.Objective, other.Left, other.Route = 0, 0, &rt
	return p.next.Choose(now, &other)
}
