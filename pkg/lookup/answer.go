package lookup

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// MaxEntries is the maximum number of entries in an answer.
const MaxEntries = 1024

type (
	// Answer lists the entries to use for a service.
	Answer struct {
		// Service is the service that was looked up.
		Service id.Service `json:"service"`
		// Version is the configuration version that the answer is based on.
		Version id.Version `json:"version"`
		// ValidSeconds is how long the answer may be used, in seconds.
		ValidSeconds int `json:"validSeconds"`
		// Entries lists the entries in order of preference, the best first.
		Entries []Entry `json:"entries"`
	}

	// Entry is an entry to use.
	Entry struct {
		// Instance is the entry's name.
		Instance id.Instance `json:"instance"`
		// Address is the address of its listener for callers.
		Address netip.AddrPort `json:"address"`
		// Weight is its share of the traffic, relative to the sum over the
		// answer. An entry with weight 0 is used only if others fail.
		Weight int `json:"weight"`
	}

	// Ticket is an idempotency key issued by an entry; a request with it is
	// executed at most once.
	Ticket struct {
		// Ticket is the value of the request's Shallotpier-Ticket header.
		Ticket string `json:"ticket"`
		// Entry is the entry that issued the ticket and executes the request.
		Entry id.Instance `json:"entry"`
		// ValidSeconds is how long the ticket may be used, in seconds.
		ValidSeconds int `json:"validSeconds"`
	}
)

// Check returns the first error in the answer; nil if there is none.
func (a *Answer) Check() error {
	switch {
	case a.Service == "":
		return eris.New("lookup answer: service is missing")
	case a.ValidSeconds < 0:
		return eris.Errorf("lookup answer: validSeconds is %d, want 0 or more", a.ValidSeconds)
	case len(a.Entries) > MaxEntries:
		return eris.Errorf("lookup answer: %d entries, want at most %d", len(a.Entries), MaxEntries)
	}
	for i := range a.Entries {
		e := &a.Entries[i]
		if e.Instance == "" || !e.Address.IsValid() || e.Weight < 0 {
			return eris.Errorf("lookup answer: entry %d has no instance, no valid address or a negative weight", i)
		}
	}
	return nil
}

// Valid returns ValidSeconds as a duration.
func (a *Answer) Valid() time.Duration { return time.Duration(a.ValidSeconds) * time.Second }
