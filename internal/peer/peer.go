package peer

import (
	"context"
	"encoding/json"

	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Caller sends requests to other entries. It is safe for concurrent use.
	Caller interface {
		// Call sends params and decodes the answer into result, which may be
		// nil. It returns an error if the peer is unreachable, rejects the
		// request, or doesn't answer before ctx ends.
		Call(ctx context.Context, to id.Instance, method string, params, result any) error
	}

	// Sender identifies the process that sent a message.
	Sender struct {
		// Instance is the sender's name.
		Instance id.Instance `json:"instance"`
		// Incarnation distinguishes it from earlier processes of the instance.
		Incarnation id.Incarnation `json:"incarnation"`
	}

	// Handler answers one method. The returned value is encoded as the
	// answer. It must be safe for concurrent use.
	Handler func(ctx context.Context, from Sender, params json.RawMessage) (any, error)
)
