package organisation

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// maxNameLength is the greatest length of a name in bytes: each request to a server
	// carries it.
	maxNameLength = 256
	// maxPriority is the least urgent priority.
	maxPriority = 1_000_000
	// minRate is the lowest rate of a quota other than 0. Below it a quota allows no
	// requests within any useful time.
	minRate unit.Rate = 1e-3
	// maxRate is the highest rate of a quota, above what any deployment serves.
	maxRate unit.Rate = 1e9
	// maxBurst is the greatest burst of a quota in requests.
	maxBurst = 1e9
)

// Fields of an organisation, which problems name.
const (
	// FieldName is the organisation's name.
	FieldName Field = "name"
	// FieldKeys are its keys.
	FieldKeys Field = "keys"
	// FieldPriority is its priority.
	FieldPriority Field = "priority"
	// FieldRate is the rate of its quota.
	FieldRate Field = "rate"
	// FieldBurst is the burst of its quota.
	FieldBurst Field = "burst"
	// FieldRegions are its allowed regions.
	FieldRegions Field = "regions"
)

type (
	// Field names a field of an organisation.
	Field string

	// Organisation is a group of callers that share a priority, a quota and regions. It
	// must not be changed once it is in a Table.
	Organisation struct {
		// Name is the organisation's name, which servers get with each request.
		Name id.Organisation
		// Keys are the hashes of its keys.
		Keys []KeyHash
		// Priority is the priority class of its requests, 0 for the most urgent. Nil
		// leaves it to the route.
		Priority *int
		// Rate is the rate of its quota over all entries together; 0 means no limit.
		Rate unit.Rate
		// Burst is the number of requests by which its quota may be exceeded for a short
		// time.
		Burst float64
		// Regions are the regions where its requests may run; empty allows all.
		Regions []id.Region
	}

	// Problem is the reason why an organisation or one of its keys was left out of a
	// table. It contains no key.
	Problem struct {
		// Organisation is the name as it is in the configuration.
		Organisation string `json:"organisation"`
		// Field is the field that is malformed.
		Field Field `json:"field"`
		// Reason tells what is wrong with it.
		Reason string `json:"reason"`
	}
)

// String returns a sentence about the problem.
func (p *Problem) String() string {
	return fmt.Sprintf("organisation %.*q: %s %s", maxNameLength, p.Organisation, p.Field, p.Reason)
}

// Allows reports whether the organisation's requests may run in a region. Those of no
// organisation may run in all.
func (o *Organisation) Allows(region id.Region) bool {
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Shares reports whether the organisation allows any of the regions, of which an empty list
// allows all.
func (o *Organisation) Shares(regions []id.Region) bool {
	return o == nil || len(o.Regions) == 0 || len(regions) == 0 || slices.ContainsFunc(o.Regions, func(r id.Region) bool {
		return slices.Contains(regions, r)
	})
}

// check returns what is wrong with the organisation, nil if nothing is.
func (o *Organisation) check() *Problem {
	problem := func(field Field, format string, args ...any) *Problem {
		return &Problem{Organisation: string(o.Name), Field: field, Reason: fmt.Sprintf(format, args...)}
	}
	switch name := string(o.Name); {
	case name == "" || len(name) > maxNameLength:
		return problem(FieldName, "is %d bytes long, want 1 to %d", len(name), maxNameLength)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return problem(FieldName, "has a character that a header can't carry")
	case strings.TrimFunc(name, unicode.IsSpace) != name:
		return problem(FieldName, "begins or ends with a space, which a header doesn't keep")
	case o.Priority != nil && (*o.Priority < 0 || *o.Priority > maxPriority):
		return problem(FieldPriority, "is %d, want 0 to %d", *o.Priority, maxPriority)
	case o.Rate != 0 && !(o.Rate >= minRate && o.Rate <= maxRate):
		return problem(FieldRate, "is %g, want 0 or %g to %g", float64(o.Rate), float64(minRate), float64(maxRate))
	case !(o.Burst >= 0 && o.Burst <= maxBurst):
		return problem(FieldBurst, "is %g, want 0 to %g", o.Burst, maxBurst)
	case slices.Contains(o.Regions, ""):
		return problem(FieldRegions, "have an empty name")
	}
	return nil
}
