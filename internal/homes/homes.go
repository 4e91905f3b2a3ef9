package homes

import (
	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	anywhere proximity = iota
	sameRegion
	sameZone
)

type (
	// Bucket is the backend servers of one service in one availability zone.
	Bucket struct {
		// Service is the service's name.
		Service id.Service
		// Zone is the availability zone of the servers.
		Zone id.Zone
		// Region is the zone's region.
		Region id.Region
	}

	// Candidate is an entry instance that may become the home.
	Candidate struct {
		// Instance is the instance's name.
		Instance id.Instance
		// Zone is its availability zone.
		Zone id.Zone
		// Region is the zone's region.
		Region id.Region
	}

	proximity int
)

// Key returns the bucket's name in lease keys, such as
// "registry/tbilisi-core-1".
func (b Bucket) Key() string { return string(b.Service) + "/" + string(b.Zone) }

// Choose returns the candidate that should be home of the bucket, false if there
// are no candidates. The result does not depend on their order.
func Choose(b Bucket, candidates []Candidate) (id.Instance, bool) {
	var (
		best  Candidate
		near  proximity
		score uint64
	)
	for i, c := range candidates {
		n, s := proximityTo(b, c), hash(b, c)
		if i == 0 || n > near || (n == near && (s > score || (s == score && c.Instance < best.Instance))) {
			best, near, score = c, n, s
		}
	}
	return best.Instance, len(candidates) > 0
}

func proximityTo(b Bucket, c Candidate) proximity {
	switch {
	case b.Zone == c.Zone:
		return sameZone
	case b.Region == c.Region:
		return sameRegion
	default:
		return anywhere
	}
}

func hash(b Bucket, c Candidate) uint64 {
	return xxhash.Sum64String(b.Key() + " " + string(c.Instance))
}
