package link

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// MaxAge is the greatest age of a measurement of foreign traffic that is
	// acted on.
	MaxAge = 15 * time.Second
	// margin is the part of the capacity that foreign traffic may grow by
	// while it isn't measured.
	margin = 0.05
	// least is the part of the entries' own part that they use whatever the
	// foreign traffic.
	least = 0.1
	// unknownPart is the part of the entries' own part that they use while
	// the foreign traffic is unknown.
	unknownPart = 0.5
	// absurdLoad is how often the capacity a measurement may be at most.
	absurdLoad = 2
)

// Limit returns what all entries together may send over one direction of a
// link. Foreign is the measured traffic of others in that direction. While it
// is missing, older than MaxAge, from the future, negative or more than twice
// the capacity, half of the entries' part is used. A link with an impossible
// capacity or part has a limit of 0.
func Limit(l *deployment.Link, foreign measured.Value[unit.BitRate], now time.Time) unit.BitRate {
	capacity := float64(l.Capacity)
	if !(capacity > 0) || !(l.Share > 0 && l.Share <= 1) {
		return 0
	}
	part := capacity * l.Share
	used, state := foreign.Read(now, MaxAge)
	if state != measured.Fresh || used < 0 || float64(used) > absurdLoad*capacity {
		return unit.BitRate(part * unknownPart)
	}
	free := capacity*(1-margin) - float64(used)
	return unit.BitRate(max(min(part, free), part*least))
}
