package relayfeed

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/packing"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/store"
)

// Method is the RPC method that returns objects or changes.
const Method = "feed.read"

const (
	// answered means that the answer holds the requested objects or changes.
	answered status = ""
	// compacted means that the log doesn't reach back to the requested version.
	compacted status = "compacted"
	// otherEra means that the requested version is of another era.
	otherEra status = "otherEra"
	// behind means that the asking entry has later changes.
	behind status = "behind"
	// unavailable means that the store doesn't answer this entry.
	unavailable status = "unavailable"
	// indirect means that this entry gets its changes from another one.
	indirect status = "indirect"
	// settling means that the store has been available to this entry for a short time
	// only.
	settling status = "settling"
	// stopping means that this entry is shutting down.
	stopping status = "stopping"
)

const (
	// maxWait bounds the wait for changes; it is below the time limit of an RPC handler.
	maxWait = 8 * time.Second
	// behindWait is how long an entry waits for changes that the asking entry has. Its
	// own next watch may be delayed by a batch. It is below the time limit of a call.
	behindWait = 600 * time.Millisecond
)

type (
	// Server answers the entries that follow the store through this one.
	Server struct {
		// Logs holds the log of each kind.
		Logs map[follow.Kind]*Log
		// Serving reports whether this entry is not shutting down.
		Serving func() bool
		// Packer packs large answers.
		Packer packing.Packer

		packer packer
	}

	// status tells whether a request could be answered.
	status string

	// request is the parameter of Method.
	request struct {
		Kind follow.Kind `json:"kind"`
		// List requests all objects, otherwise the changes after a version.
		List  bool          `json:"list,omitempty"`
		After store.Version `json:"after"`
		// Wait is how long to wait for changes.
		Wait time.Duration `json:"wait,omitempty"`
		// Packed is whether the answer may be packed.
		Packed bool `json:"packed,omitempty"`
	}

	// answer is the result of Method.
	answer struct {
		Status status `json:"status,omitempty"`
		// Changes holds the objects or changes as they came from the store.
		Changes []change `json:"changes,omitempty"`
		// Packed holds them instead if they are large, as CBOR, packed.
		Packed []byte `json:"packed,omitempty"`
		// Version is the version up to which they are complete.
		Version store.Version `json:"version"`
		// Latest is the version of the newest change before Version.
		Latest store.Version `json:"latest"`
		// Age is the time since the store's last answer to this entry.
		Age time.Duration `json:"age"`
	}

	change struct {
		store.Object
		Removed bool `json:"removed,omitempty" cbor:"removed,omitempty"`
	}

	registrar interface {
		Register(method string, handler peer.Handler)
	}
)

// Register registers the handler of Method.
func (s *Server) Register(r registrar) { r.Register(Method, s.handle) }

func (s *Server) handle(ctx context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	var r request
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode the request for changes")
	}
	log := s.Logs[r.Kind]
	switch {
	case log == nil:
		return nil, eris.Errorf("kind %q is not followed", r.Kind)
	case !s.Serving():
		return &answer{Status: stopping}, nil
	}
	var a *answer
	if r.List {
		a = log.list(time.Now())
	} else {
		a = s.changes(ctx, log, &r)
	}
	if r.Packed {
		s.packer.apply(a, &s.Packer)
	}
	return a, nil
}

// changes waits for changes. It also returns after an answer of the store without changes,
// so that the asking entry knows the age of its state.
func (s *Server) changes(ctx context.Context, log *Log, r *request) *answer {
	ended, caughtUp := time.After(min(r.Wait, maxWait)), time.After(behindWait)
	for first := true; ; first = false {
		updated := log.wait()
		a := log.after(time.Now(), r.After)
		done := len(a.Changes) > 0 || a.Status != answered || !first
		if a.Status == behind {
			done, ended = false, caughtUp
		}
		if done {
			return a
		}
		select {
		case <-updated:
		case <-ended:
			return log.after(time.Now(), r.After)
		case <-ctx.Done():
			return &answer{Status: unavailable}
		}
	}
}
