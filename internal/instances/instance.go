package instances

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// States of an instance in the platform's list.
const (
	// Live means that the instance is running.
	Live State = "live"
	// Leaving means that the instance will be stopped.
	Leaving State = "leaving"
	// Gone means that the instance has stopped. A replacement under the same
	// name has a later start time.
	Gone State = "gone"
)

const (
	defaultTimeout = 2 * time.Second
	maxListBytes   = 8 << 20
)

type (
	// State is the state of an instance in the platform's list.
	State string

	// Instance is an item of the platform's list.
	Instance struct {
		// Name is the instance's name.
		Name id.Instance `json:"name"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone"`
		// State is its state.
		State State `json:"state"`
		// Started is when the platform started it. A replacement under the
		// same name has a later start time.
		Started time.Time `json:"started"`
	}

	// Lister reads the list. It is safe for concurrent use.
	Lister interface {
		// List returns all instances, ordered by name. Their states may be
		// out of date.
		List(ctx context.Context) ([]Instance, error)
	}

	// Client reads the list over HTTP. It is safe for concurrent use.
	Client struct {
		// Base is the platform's base URL without a trailing slash.
		Base string
		// HTTP is the HTTP client; nil means http.DefaultClient.
		HTTP *http.Client
		// Timeout limits the duration of a call; 0 means 2 s.
		Timeout time.Duration
	}
)

// UnmarshalText decodes a state and returns an error for an unknown one.
func (s *State) UnmarshalText(text []byte) error {
	switch v := State(text); v {
	case Live, Leaving, Gone:
		*s = v
		return nil
	default:
		return eris.Errorf("instance state %q: want live, leaving or gone", text)
	}
}

// List returns all instances, ordered by name.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+"/instances", nil)
	if err != nil {
		return nil, eris.Wrap(err, "list instances")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "list instances")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("list instances: status %d", resp.StatusCode)
	}
	var all []Instance
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxListBytes)).Decode(&all); err != nil {
		return nil, eris.Wrap(err, "list instances")
	}
	return all, nil
}
