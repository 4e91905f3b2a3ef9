package node

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/entryview"
	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// State returns a snapshot of the entry's local state for operators.
func (n *Node) State(now time.Time) *entryview.View {
	self := n.Self()
	v := &entryview.View{
		Instance: self.Instance, Incarnation: self.Incarnation, Zone: self.Zone, Ready: self.Ready,
		Running: n.handler.Running(), Known: len(n.Heartbeats.KnownPeers()), EvacuatedZones: n.Roster.Evacuated(),
		Quarantined: len(n.Quarantine.Entries(now)), Quotas: n.quotaStates(), Granting: n.quotas.Granting(), Capacity: n.capacityStates(),
	}
	if c := n.config.Load(); c != nil {
		v.Version, v.Organisations = c.Version, len(c.Organisations.All())
		problems := c.Organisations.Problems()
		v.LeftOut = problems[:min(len(problems), maxProblems)]
	}
	if since := n.configuredAt.Load(); since != nil {
		v.InForce = now.Sub(*since)
	}
	v.Proof = n.proofState()
	for kind := range self.Changes {
		v.Store = append(v.Store, n.storeState(now, kind))
	}
	slices.SortFunc(v.Store, func(x, y entryview.StoreState) int { return strings.Compare(x.Name, y.Name) })
	for _, other := range n.Heartbeats.Alive(now) {
		v.Entries = append(v.Entries, other.Instance)
	}
	for _, m := range n.Roster.All() {
		v.Servers = append(v.Servers, n.serverState(now, m, v.EvacuatedZones))
	}
	return v
}

// storeState returns the state of a kind of store objects.
func (n *Node) storeState(now time.Time, kind follow.Kind) entryview.StoreState {
	s := entryview.StoreState{Name: string(kind)}
	if f := n.options.Store[kind]; f != nil {
		s.Change, s.Era, s.Age = f.Latest(), f.Era(), f.Age(now)
	}
	return s
}

func (n *Node) serverState(now time.Time, m *roster.Member, evacuated []id.Zone) entryview.Server {
	s := entryview.Server{Name: m.Name, Service: m.Service, Zone: m.Zone, Slots: m.Slots, Busy: m.EstimatedRequests(now), Own: m.InFlight(), Limit: m.Limit(now), LimitShare: m.LimitShare(now)}
	ready, next := m.Readiness(now)
	switch {
	case m.Leaving, m.AnsweredLeaving():
		s.State = entryview.Leaving
	case slices.Contains(evacuated, m.Zone):
		s.State = entryview.Evacuated
	case !m.Reachable():
		s.State = entryview.Unreachable
	case m.Cold(now):
		s.State = entryview.Cold
	case !ready && next.IsZero():
		s.State = entryview.Out
	case m.Away(now) > 0:
		s.State = entryview.Away
	case s.Limit > 0:
		s.State = entryview.Limited
	case m.Outlier():
		s.State = entryview.Outlier
	default:
		s.State = entryview.Usable
	}
	return s
}

// Explain returns the server that a request would be sent to now, and why. For a
// route that splits its traffic, it uses the service selected by the smallest random
// draw, 0.
func (n *Node) Explain(now time.Time, q *entryview.Query) *entryview.Explanation {
	e := &entryview.Explanation{Servers: n.storeState(now, follow.Servers)}
	c := n.config.Load()
	if c == nil {
		e.Reason = "no configuration"
		return e
	}
	r := c.Routes.Match(q.Host, q.Path)
	if r == nil {
		e.Reason = "no route"
		return e
	}
	e.Route, e.Service = r.Name, r.Pick(0)
	req := &dispatch.Request{Service: e.Service, Route: r, Key: owner.Key(e.Service, q.Object), Left: r.Timeout, Recurring: r.Affinity}
	n.explainOrganisation(c, q, req, e)
	choice, ranking := n.dispatcher.Explain(now, req)
	e.Reason = string(choice.Reason)
	if choice.Server != nil {
		e.Server = choice.Server.Name
	}
	evacuated := n.Roster.Evacuated()
	for _, m := range ranking {
		e.Ranking = append(e.Ranking, n.serverState(now, m, evacuated))
	}
	return e
}

// ServeOperators registers the operators' HTTP endpoints for the entry's state.
func (n *Node) ServeOperators(mux *http.ServeMux) {
	writeJSON := func(w http.ResponseWriter, v any) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(v); err != nil {
			n.options.Log.Warn("operator response not written", "err", err)
		}
	}
	mux.HandleFunc("GET "+entryview.Path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.State(time.Now())) })
	mux.HandleFunc("GET "+entryview.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, n.Explain(time.Now(), entryview.ParseQuery(r.URL.Query())))
	})
}
