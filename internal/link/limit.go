package link

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// MaxAge is the maximum age of a measurement of foreign traffic that is
	// used.
	MaxAge = 15 * time.Second
	// growthMargin is the share of the capacity by which foreign traffic may
	// grow between measurements.
	growthMargin = 0.05
	// minPart is the fraction of the entries' share that they may use
	// regardless of the foreign traffic.
	minPart = 0.1
	// unknownPart is the fraction of the entries' share that they may use
	// while the foreign traffic is unknown.
	unknownPart = 0.5
	// maxPlausibleLoad is the maximum plausible measurement, as a multiple of
	// the capacity.
	maxPlausibleLoad = 2
)

// Limit returns the rate at which all entries together may send over one
// direction of a link. foreign is the measured traffic of other systems in that
// direction. While it is missing, older than MaxAge, from the future, negative
// or more than twice the capacity, the limit is half of the entries' share. A
// link with an invalid capacity or share has a limit of 0.
func Limit(l *deployment.Link, foreign measured.Value[unit.BitRate], now time.Time) unit.BitRate {
	capacity := float64(l.Capacity)
	if !(capacity > 0) || !(l.Share > 0 && l.Share <= 1) {
		return 0
	}
	part := capacity * l.Share
	used, state := foreign.Read(now, MaxAge)
	if state != measured.Fresh || used < 0 || float64(used) > maxPlausibleLoad*capacity {
		return unit.BitRate(part * unknownPart)
	}
	free := capacity*(1-growthMargin) - float64(used)
	return unit.BitRate(max(min(part, free), part*minPart))
}
