package node

import (
	"fmt"
	"strings"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/entryview"
	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// maxProblems limits the log lines and the operators' output about organisations that one
// configuration leaves out.
const maxProblems = 100

// completes reports whether a configuration is the one in force, which came from an entry of a
// build that knows less of it: without organisations.
func completes(old, c *Config) bool { return c.Version == old.Version && c.Format > old.Format }

// logOrganisations logs which organisations and keys of a configuration are left out.
func (n *Node) logOrganisations(c *Config) {
	if c.Organisations == nil {
		return
	}
	problems := c.Organisations.Problems()
	n.options.Log.Info("organisations in force", "version", c.Version, "organisations", len(c.Organisations.All()), "leftOut", len(problems))
	for i := range problems[:min(len(problems), maxProblems)] {
		p := &problems[i]
		n.options.Log.Error("organisation or key left out", "version", c.Version, "organisation", p.Organisation, "field", p.Field, "reason", p.Reason)
	}
	if more := len(problems) - maxProblems; more > 0 {
		n.options.Log.Error("more organisations or keys left out", "version", c.Version, "count", more)
	}
}

// explainOrganisation explains what the caller's organisation means for a request, and sets
// the request's organisation.
func (n *Node) explainOrganisation(c *Config, q *entryview.Query, req *dispatch.Request, e *entryview.Explanation) {
	e.Public = req.Route.Public
	if c.Organisations != nil {
		var reason string
		req.Organisation, reason = findOrganisation(c.Organisations, q)
		e.LeftOut = problemsOf(c.Organisations, q, req.Organisation)
		if req.Organisation == nil && !e.Public {
			e.Refused = refusal(result.KeyUnknown, reason)
		}
	}
	if o := req.Organisation; o != nil {
		e.Organisation = string(o.Name)
		if !o.Shares(req.Route.Regions) {
			e.Refused = refusal(result.RegionNotAllowed, fmt.Sprintf("the route allows %v, the organisation %v", req.Route.Regions, o.Regions))
		}
	}
	e.Priority = req.Priority()
	for _, region := range req.AllowedRegions() {
		e.Regions = append(e.Regions, string(region))
	}
}

// findOrganisation returns the organisation of a query, or why there is none.
func findOrganisation(t *organisation.Table, q *entryview.Query) (*organisation.Organisation, string) {
	switch {
	case q.Key != "":
		if o, ok := t.ByFingerprint(q.Key); ok {
			return o, ""
		}
		return nil, fmt.Sprintf("no organisation can be told by a key with the fingerprint %s", q.Key)
	case q.Organisation != "":
		if o, ok := t.Named(q.Organisation); ok {
			return o, ""
		}
		return nil, fmt.Sprintf("the configuration holds no well-formed organisation %q", q.Organisation)
	default:
		return nil, "the route isn't public, and neither an organisation nor the fingerprint of a key was given"
	}
}

// problemsOf returns the problems of a query's organisation and key.
func problemsOf(t *organisation.Table, q *entryview.Query, o *organisation.Organisation) []organisation.Problem {
	name := q.Organisation
	if o != nil {
		name = o.Name
	}
	var out []organisation.Problem
	for _, p := range t.Problems() {
		if len(out) < maxProblems && (id.Organisation(p.Organisation) == name || q.Key != "" && strings.Contains(p.Reason, string(q.Key))) {
			out = append(out, p)
		}
	}
	return out
}

func refusal(code result.Code, reason string) string {
	info, _ := code.Info()
	return fmt.Sprintf("%d %s (%d): %s", info.Status, info.Name, int(code), reason)
}
