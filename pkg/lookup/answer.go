package lookup

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// MaxEntries is the greatest number of entries in an answer.
const MaxEntries = 1024

type (
	// Answer tells which entries to use for a service.
	Answer struct {
		// Service is the service that was asked for.
		Service id.Service `json:"service"`
		// Version is the configuration version that the answer rests on.
		Version id.Version `json:"version"`
		// ValidSeconds is how long the answer may be used, in seconds.
		ValidSeconds int `json:"validSeconds"`
		// Entries lists the entries, the best first.
		Entries []Entry `json:"entries"`
	}

	// Entry is an entry to use.
	Entry struct {
		// Instance is the entry's name.
		Instance id.Instance `json:"instance"`
		// Address is where it listens for callers.
		Address netip.AddrPort `json:"address"`
		// Weight is its share among the entries of the answer; 0 keeps it for
		// the failure of others.
		Weight int `json:"weight"`
	}

	// Ticket lets one request be executed at most once.
	Ticket struct {
		// Ticket is sent along with the request.
		Ticket string `json:"ticket"`
		// Entry is the one that will execute it.
		Entry id.Instance `json:"entry"`
		// ValidSeconds is how long it may be used, in seconds.
		ValidSeconds int `json:"validSeconds"`
	}
)

// Check tells what is wrong with the answer.
func (a *Answer) Check() error {
	switch {
	case a.Service == "":
		return eris.New("look-up answer names no service")
	case a.ValidSeconds < 0:
		return eris.Errorf("look-up answer is valid for %d seconds", a.ValidSeconds)
	case len(a.Entries) > MaxEntries:
		return eris.Errorf("look-up answer has %d entries, want at most %d", len(a.Entries), MaxEntries)
	}
	for i := range a.Entries {
		e := &a.Entries[i]
		if e.Instance == "" || !e.Address.IsValid() || e.Weight < 0 {
			return eris.Errorf("look-up answer's entry %d lacks a name or an address, or has a negative weight", i)
		}
	}
	return nil
}

// Valid returns how long the answer may be used.
func (a *Answer) Valid() time.Duration { return time.Duration(a.ValidSeconds) * time.Second }
