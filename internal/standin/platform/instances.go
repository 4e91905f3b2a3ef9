package platform

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// Instances is a list of instances that shows changes after a lag. The zero
	// Instances is empty. It is safe for concurrent use.
	Instances struct {
		mu      sync.Mutex
		lag     time.Duration
		down    bool
		changes map[id.Instance][]change
	}

	change struct {
		instance instances.Instance
		at       time.Time
	}
)

var _ instances.Lister = (*Instances)(nil)

// SetLag sets the time after which changes are shown, including changes already
// made.
func (i *Instances) SetLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

// SetDown makes the list unavailable, or available again.
func (i *Instances) SetDown(down bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.down = down
}

// Set sets the state of an instance from now on.
func (i *Instances) Set(instance instances.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changes == nil {
		i.changes = map[id.Instance][]change{}
	}
	i.changes[instance.Name] = append(i.changes[instance.Name], change{instance, time.Now()})
}

// SetState changes the state of a known instance; it ignores an unknown one.
func (i *Instances) SetState(name id.Instance, state instances.State) {
	i.mu.Lock()
	all := i.changes[name]
	i.mu.Unlock()
	if len(all) == 0 {
		return
	}
	next := all[len(all)-1].instance
	next.State = state
	i.Set(next)
}

// List returns the instances as they were one lag ago, sorted by name.
func (i *Instances) List(context.Context) ([]instances.Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return nil, eris.New("instance list unavailable")
	}
	asOf := time.Now().Add(-i.lag)
	list := []instances.Instance{}
	for _, changes := range i.changes {
		for n := len(changes) - 1; n >= 0; n-- {
			if !changes[n].at.After(asOf) {
				list = append(list, changes[n].instance)
				break
			}
		}
	}
	slices.SortFunc(list, func(a, b instances.Instance) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return list, nil
}

// ServeHTTP returns the list for GET /instances and sets one instance for PUT
// /instances.
func (i *Instances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		list, err := i.List(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, list)
	case http.MethodPut:
		var instance instances.Instance
		if err := readJSON(r.Body, &instance); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(instance)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
