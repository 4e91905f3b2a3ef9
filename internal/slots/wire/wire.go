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

// MaxCount is the maximum of a slot count in a message.
const MaxCount = 1 << 30

type (
	// Bucket identifies a group of backend servers with one home: those of a
	// service in an availability zone.
	Bucket struct {
		// Service is the service.
		Service id.Service `json:"service"`
		// Zone is the availability zone.
		Zone id.Zone `json:"zone"`
	}

	// Report is a holder's slot counts and demand of a bucket.
	Report struct {
		Bucket
		// Term is the home's term as known to the holder; 0 if unknown.
		Term id.Term `json:"term"`
		// Seq numbers the holder's reports on the bucket from 1.
		Seq uint64 `json:"seq"`
		// Want is how many more slots the holder wants, of any server.
		Want int `json:"want"`
		// Waiting is how many of these are for requests that already wait.
		Waiting int `json:"waiting"`
		// Leaving means that the holder is shutting down and wants no slots.
		Leaving bool `json:"leaving,omitempty"`
		// Servers lists the holder's slot counts by server.
		Servers []Held `json:"servers"`
	}

	// Held is a holder's slot counts of a server.
	Held struct {
		// Server is the server's name.
		Server id.Server `json:"server"`
		// Claimed is the number of slots held from earlier terms when the
		// holder switched to this one. It does not change within a term.
		Claimed int `json:"claimed"`
		// Seen is the greatest Given that the holder has received.
		Seen uint64 `json:"seen"`
		// Returned is the total number of slots returned in this term.
		Returned uint64 `json:"returned"`
		// Used is the number of slots in use.
		Used int `json:"used"`
	}

	// Grant is the home's grant of slots of a bucket to a holder.
	Grant struct {
		Bucket
		// Term is the home's term.
		Term id.Term `json:"term"`
		// Seq is that of the answered report; 0 in a pushed Grant.
		Seq uint64 `json:"seq"`
		// Recall is how many idle slots the holder should return.
		Recall int `json:"recall"`
		// Owed is how many slots, in addition to Recall, the holder should
		// return as soon as they are idle, since requests wait at other
		// holders. It is valid until the next Grant.
		Owed int `json:"owed"`
		// Keep makes the holder keep its idle slots unless they are recalled.
		Keep bool `json:"keep,omitempty"`
		// Spare is how many slots of the bucket are free at the home or idle at
		// other holders.
		Spare int `json:"spare"`
		// Servers lists the grants by server.
		Servers []Given `json:"servers"`
	}

	// Given is a home's grant totals of a server to one holder.
	Given struct {
		// Server is the server's name.
		Server id.Server `json:"server"`
		// Accepted is how many of the claimed slots the home has accepted. It
		// does not change within a term.
		Accepted int `json:"accepted"`
		// Given is the total number of slots granted in this term, without
		// the accepted ones.
		Given uint64 `json:"given"`
	}
)

// UnmarshalJSON decodes and validates a Report.
func (r *Report) UnmarshalJSON(data []byte) error {
	type plain Report
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return eris.Wrap(err, "report")
	}
	return r.Check()
}

// UnmarshalJSON decodes and validates a Grant.
func (g *Grant) UnmarshalJSON(data []byte) error {
	type plain Grant
	if err := json.Unmarshal(data, (*plain)(g)); err != nil {
		return eris.Wrap(err, "grant")
	}
	return g.Check()
}

// Check returns an error if no holder can have sent the Report: a missing name or
// number, or an impossible count.
func (r *Report) Check() error {
	switch {
	case r.Service == "" || r.Zone == "":
		return eris.New("report names no bucket")
	case r.Seq == 0:
		return eris.New("report has no number")
	case !validCount(r.Want) || !validCount(r.Waiting):
		return eris.Errorf("report wants %d, %d of them for waiting requests", r.Want, r.Waiting)
	}
	seen := map[id.Server]bool{}
	for i := range r.Servers {
		h := &r.Servers[i]
		if h.Server == "" || seen[h.Server] {
			return eris.Errorf("report names server %q twice or not at all", h.Server)
		}
		seen[h.Server] = true
		if !validCount(h.Claimed) || !validCount(h.Used) || h.Seen > MaxCount*MaxCount || h.Returned > h.Seen+uint64(h.Claimed) {
			return eris.Errorf("report on server %q: claimed %d, seen %d, returned %d, used %d", h.Server, h.Claimed, h.Seen, h.Returned, h.Used)
		}
	}
	return nil
}

// Check returns an error if no home can have sent the Grant: a missing name or
// term, or an impossible count.
func (g *Grant) Check() error {
	switch {
	case g.Service == "" || g.Zone == "":
		return eris.New("grant names no bucket")
	case g.Term == 0:
		return eris.New("grant has no term")
	case !validCount(g.Recall) || !validCount(g.Owed) || !validCount(g.Spare):
		return eris.Errorf("grant recalls %d, owed %d, spare %d", g.Recall, g.Owed, g.Spare)
	}
	seen := map[id.Server]bool{}
	for i := range g.Servers {
		v := &g.Servers[i]
		if v.Server == "" || seen[v.Server] {
			return eris.Errorf("grant names server %q twice or not at all", v.Server)
		}
		seen[v.Server] = true
		if !validCount(v.Accepted) || v.Given > MaxCount*MaxCount {
			return eris.Errorf("grant of server %q: accepted %d, given %d", v.Server, v.Accepted, v.Given)
		}
	}
	return nil
}

func validCount(n int) bool { return n >= 0 && n <= MaxCount }
