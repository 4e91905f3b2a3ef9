package wire

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Methods between entries.
const (
	// MethodReport carries a Report to a home; the answer is a Grant.
	MethodReport = "slots.report"
	// MethodGrant carries a Grant to a holder; the answer is a Report.
	MethodGrant = "slots.grant"
)

// MaxCount bounds every count of slots in a message.
const MaxCount = 1 << 30

type (
	// Bucket names the backend servers that have one home: those of a service
	// in an availability zone.
	Bucket struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Zone is the availability zone.
		Zone id.Zone `json:"zone"`
	}

	// Report is what a holder holds of a bucket.
	Report struct {
		Bucket
		// Term is the home's term that the holder goes by.
		Term id.Term `json:"term"`
		// Seq numbers the holder's reports on the bucket from 1.
		Seq uint64 `json:"seq"`
		// Want is how many more slots the holder wants, of any server.
		Want int `json:"want"`
		// Waiting is how many of them requests already wait for.
		Waiting int `json:"waiting"`
		// Leaving tells that the holder will stop and wants no slots.
		Leaving bool `json:"leaving,omitempty"`
		// Servers lists the holder's slots by server.
		Servers []Held `json:"servers"`
	}

	// Held is what a holder holds of a server.
	Held struct {
		// Server is the server's name.
		Server id.Server `json:"server"`
		// Claimed is the number of slots held under earlier terms at the time
		// the holder learned of this one. It doesn't change within a term.
		Claimed int `json:"claimed"`
		// Seen is the greatest total given that the holder knows of.
		Seen uint64 `json:"seen"`
		// Returned is the total that the holder has returned in this term.
		Returned uint64 `json:"returned"`
		// Used is the number of slots in use.
		Used int `json:"used"`
	}

	// Grant is what a home grants a holder of a bucket.
	Grant struct {
		Bucket
		// Term is the home's term.
		Term id.Term `json:"term"`
		// Seq is that of the report answered; 0 in a Grant that answers none.
		Seq uint64 `json:"seq"`
		// Recall is how many idle slots the home wants back.
		Recall int `json:"recall"`
		// Owed is how many slots the home wants back as soon as they are idle,
		// besides those of Recall, since requests wait elsewhere. It stands
		// until the next Grant.
		Owed int `json:"owed"`
		// Keep tells the holder to keep its idle slots unless they are
		// recalled.
		Keep bool `json:"keep,omitempty"`
		// Spare is how many slots of the bucket nobody uses.
		Spare int `json:"spare"`
		// Servers lists the grants by server.
		Servers []Given `json:"servers"`
	}

	// Given is what a home has granted of a server.
	Given struct {
		// Server is the server's name.
		Server id.Server `json:"server"`
		// Accepted is how many of the claimed slots the home has accepted. It
		// doesn't change within a term.
		Accepted int `json:"accepted"`
		// Given is the total given in this term, besides the accepted.
		Given uint64 `json:"given"`
	}
)

// UnmarshalJSON decodes and checks a Report.
func (r *Report) UnmarshalJSON(data []byte) error {
	type plain Report
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return eris.Wrap(err, "report")
	}
	return r.Check()
}

// UnmarshalJSON decodes and checks a Grant.
func (g *Grant) UnmarshalJSON(data []byte) error {
	type plain Grant
	if err := json.Unmarshal(data, (*plain)(g)); err != nil {
		return eris.Wrap(err, "grant")
	}
	return g.Check()
}

// Check tells whether the Report can be a holder's.
func (r *Report) Check() error {
	switch {
	case r.Service == "" || r.Zone == "":
		return eris.New("report names no bucket")
	case r.Seq == 0:
		return eris.New("report has no number")
	case !count(r.Want) || !count(r.Waiting):
		return eris.Errorf("report wants %d, %d of them for waiting requests", r.Want, r.Waiting)
	}
	seen := map[id.Server]bool{}
	for i := range r.Servers {
		h := &r.Servers[i]
		if h.Server == "" || seen[h.Server] {
			return eris.Errorf("report names server %q twice or not at all", h.Server)
		}
		seen[h.Server] = true
		if !count(h.Claimed) || !count(h.Used) || h.Seen > MaxCount*MaxCount || h.Returned > h.Seen+uint64(h.Claimed) {
			return eris.Errorf("report on server %q: claimed %d, seen %d, returned %d, used %d", h.Server, h.Claimed, h.Seen, h.Returned, h.Used)
		}
	}
	return nil
}

// Check tells whether the Grant can be a home's.
func (g *Grant) Check() error {
	switch {
	case g.Service == "" || g.Zone == "":
		return eris.New("grant names no bucket")
	case g.Term == 0:
		return eris.New("grant has no term")
	case !count(g.Recall) || !count(g.Owed) || !count(g.Spare):
		return eris.Errorf("grant recalls %d, owed %d, spare %d", g.Recall, g.Owed, g.Spare)
	}
	seen := map[id.Server]bool{}
	for i := range g.Servers {
		v := &g.Servers[i]
		if v.Server == "" || seen[v.Server] {
			return eris.Errorf("grant names server %q twice or not at all", v.Server)
		}
		seen[v.Server] = true
		if !count(v.Accepted) || v.Given > MaxCount*MaxCount {
			return eris.Errorf("grant of server %q: accepted %d, given %d", v.Server, v.Accepted, v.Given)
		}
	}
	return nil
}

func count(n int) bool { return n >= 0 && n <= MaxCount }
