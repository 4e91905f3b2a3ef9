package lateness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Causes, in the order of reports.
const (
	// FirstRun means that the logs have no earlier request on the object at the server.
	FirstRun Cause = "first run of the object"
	// Queue means that the server had more requests than slots.
	Queue Cause = "queue at the server"
	// SlowMachine means that work took longer than usual on the server's machine.
	SlowMachine Cause = "slow machine"
	// Connecting means that a connection was opened, or that servers accepted none.
	Connecting Cause = "connection made"
	// Crossing means that the server is in another zone or region than the entry.
	Crossing Cause = "crossing between zones or regions"
	// EntryWait means that the request waited for its quota or its body was uploaded.
	EntryWait Cause = "wait in the entry"
	// SentAgain means that an earlier send failed.
	SentAgain Cause = "sent again"
	// PassedOn means that another entry has answered.
	PassedOn Cause = "passed on to another entry"
	// Other means that the log gives none of these.
	Other Cause = "other"
)

// Ways to divide requests into groups.
const (
	// Together means one group of all requests.
	Together Grouping = ""
	// ByKind means one group for each kind of request.
	ByKind Grouping = "kind"
	// ByZone means one group for each zone of servers.
	ByZone Grouping = "zone"
)

const (
	// slowPace is the pace from which a machine counts as slow: work takes a fifth longer
	// than usual there. Chosen, not measured.
	slowPace = 1.2
	// relevantShare is the share of the time beyond the limit from which a wait counts as
	// the cause although the request would have been late without it.
	relevantShare = 0.5
)

type (
	// Cause is why a request was late.
	Cause string

	// Grouping divides requests into groups.
	Grouping string

	// Object identifies an object of a service.
	Object uint64

	// Request is the outcome of a request according to its entry. Fields that a line lacks
	// are zero.
	Request struct {
		// At is the time of the answer, Took the time since the request's arrival.
		At   time.Time
		Took time.Duration
		// Kind and Objective are those of the route; an objective of 0 is unknown.
		Kind      service.Kind
		Objective time.Duration
		// Served is set if the request was served.
		Served bool
		// Relayed is set if another entry has passed the request on, PassedOn if another
		// entry has answered it.
		Relayed, PassedOn bool
		// Server is the last server that the request was sent to, empty for none, and Zone
		// its zone.
		Server id.Server
		Zone   id.Zone
		// Object is the request's object if NamesObject is set.
		Object      Object
		NamesObject bool
		// Busy is the number of requests of all entries at the server, Slots its slots.
		Busy  float64
		Slots int
		// Pace is how long work took on the server's machine, as a multiple of the usual
		// time; 0 if unknown.
		Pace float64
		// Sends counts the sends, Unconnected the servers that accepted no connection.
		Sends, Unconnected int
		// Waited is the time from arrival to the first send, Resending that from the first
		// send to the last, and Connect the time that the last one took to connect.
		Waited, Resending, Connect time.Duration
		// Crossing is set if the server is in another zone or region than the entry.
		Crossing bool
	}

	// Tally counts late requests.
	Tally struct {
		// Over is the time from which requests are late; 0 selects the objective.
		Over time.Duration
		// By divides the requests into groups.
		By Grouping
		// Since and Until limit the interval of the answers that are counted, zero for no
		// limit. Earlier requests still count as earlier ones on their objects.
		Since, Until time.Time

		first  map[run]time.Time // earliest send of an object to a server
		groups map[string]*group
		// servers holds one copy of each name, so that lines can be freed.
		servers map[id.Server]id.Server
	}

	// Report is the count of each group, by name.
	Report struct {
		// Groups are the groups.
		Groups []Group `json:"groups"`
	}

	// Group is the count of a group of requests.
	Group struct {
		// Name is the kind or the zone, empty if all requests are counted together.
		Name string `json:"name,omitempty"`
		// Served is the number of served requests, Late that of the late ones among them.
		Served int `json:"served"`
		Late   int `json:"late"`
		// WithoutObjective is the number of served requests that have no known objective.
		WithoutObjective int `json:"withoutObjective"`
		// Rows count the late requests of each cause; causes without any are left out.
		Rows []Row `json:"causes"`
	}

	// Row counts the late requests of a cause.
	Row struct {
		// Cause is the cause.
		Cause Cause `json:"cause"`
		// Requests is their number, Share their share of all late requests of the group.
		Requests int     `json:"requests"`
		Share    float64 `json:"share"`
		// Median and P99 are quantiles of the time that they took.
		Median unit.Duration `json:"median"`
		P99    unit.Duration `json:"p99"`
	}

	// run identifies the runs of an object's requests at a server.
	run struct {
		object Object
		server id.Server
	}

	// group collects the requests of a group.
	group struct {
		served, withoutObjective int
		late                     []Request
	}

	// wait is a time that the entry has measured.
	wait struct {
		cause Cause
		took  time.Duration
	}
)

// causes returns the causes in the order of reports.
func causes() []Cause {
	return []Cause{FirstRun, Queue, SlowMachine, Connecting, Crossing, EntryWait, SentAgain, PassedOn, Other}
}

// Add counts a request.
func (t *Tally) Add(r *Request) {
	t.recordRun(r)
	if !r.Served || r.Relayed || !t.Since.IsZero() && r.At.Before(t.Since) || !t.Until.IsZero() && !r.At.Before(t.Until) {
		return
	}
	g := t.group(r)
	g.served++
	limit := t.limit(r)
	switch {
	case limit == 0:
		g.withoutObjective++
	case r.Took > limit:
		g.late = append(g.late, *r)
	}
}

// recordRun records the time of a send of an object to a server, if it is the earliest one.
func (t *Tally) recordRun(r *Request) {
	if !r.NamesObject || r.Server == "" || r.Sends == 0 {
		return
	}
	if t.first == nil {
		t.first, t.servers = make(map[run]time.Time), make(map[id.Server]id.Server)
	}
	name, ok := t.servers[r.Server]
	if !ok {
		name = r.Server
		t.servers[name] = name
	}
	key := run{r.Object, name}
	if earliest, ok := t.first[key]; !ok || r.sentAt().Before(earliest) {
		t.first[key] = r.sentAt()
	}
}

func (t *Tally) group(r *Request) *group {
	name := ""
	switch t.By {
	case ByKind:
		name = cmp.Or(string(r.Kind), "unknown")
	case ByZone:
		name = cmp.Or(string(r.Zone), "unknown")
	}
	if t.groups == nil {
		t.groups = make(map[string]*group)
	}
	if t.groups[name] == nil {
		t.groups[name] = &group{}
	}
	return t.groups[name]
}

// limit returns the time from which a request is late, 0 if it is unknown.
func (t *Tally) limit(r *Request) time.Duration { return cmp.Or(t.Over, r.Objective) }

// sentAt returns the time of the request's last send.
func (r *Request) sentAt() time.Time { return r.At.Add(r.Waited + r.Resending - r.Took) }

// firstRun reports whether the request is the first one on its object at its server.
func (t *Tally) firstRun(r *Request) bool {
	earliest, ok := t.first[run{r.Object, r.Server}]
	return ok && r.NamesObject && r.Sends > 0 && !earliest.Before(r.sentAt())
}

// cause returns the cause of a late request.
func (t *Tally) cause(r *Request) Cause {
	excess := r.Took - t.limit(r)
	longest := r.longestWait()
	switch {
	case longest.took >= excess:
		return longest.cause
	case t.firstRun(r):
		return FirstRun
	case r.Slots > 0 && r.Busy > float64(r.Slots):
		return Queue
	case r.Pace >= slowPace:
		return SlowMachine
	case r.PassedOn:
		return PassedOn
	case float64(longest.took) >= relevantShare*float64(excess):
		return longest.cause
	case r.Unconnected > 0:
		return Connecting
	case r.Sends > 1:
		return SentAgain
	case r.Crossing:
		return Crossing
	default:
		return Other
	}
}

// longestWait returns the longest wait that the entry has measured.
func (r *Request) longestWait() wait {
	resending := SentAgain
	if r.Unconnected > 0 && r.Sends <= 1 {
		resending = Connecting // only connections have failed
	}
	return slices.MaxFunc([]wait{{Connecting, r.Connect}, {resending, r.Resending}, {EntryWait, r.Waited}},
		func(a, b wait) int { return cmp.Compare(a.took, b.took) })
}

// Report returns the counts of the requests so far.
func (t *Tally) Report() *Report {
	rep := &Report{Groups: []Group{}}
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		g := t.groups[name]
		rep.Groups = append(rep.Groups, Group{
			Name: name, Served: g.served, Late: len(g.late), WithoutObjective: g.withoutObjective, Rows: t.rows(g.late),
		})
	}
	return rep
}

func (t *Tally) rows(late []Request) []Row {
	times := make(map[Cause][]time.Duration)
	for i := range late {
		cause := t.cause(&late[i])
		times[cause] = append(times[cause], late[i].Took)
	}
	rows := []Row{}
	for _, c := range causes() {
		took := times[c]
		if len(took) == 0 {
			continue
		}
		slices.Sort(took)
		rows = append(rows, Row{
			Cause: c, Requests: len(took), Share: float64(len(took)) / float64(len(late)),
			Median: unit.Duration(quantile(took, 50)), P99: unit.Duration(quantile(took, 99)),
		})
	}
	return rows
}

// quantile returns the least of the sorted times that at least percent of them don't exceed.
func quantile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)*percent+99)/100-1]
}
