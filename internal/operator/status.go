package operator

import (
	"net/netip"
	"net/url"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// Status is what an entry knows.
	Status struct {
		// Instance is the entry that answers.
		Instance id.Instance `json:"instance,omitempty"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// Region is its region.
		Region id.Region `json:"region,omitempty"`
		// Incarnation tells the process from earlier ones.
		Incarnation id.Incarnation `json:"incarnation"`
		// Version is the configuration in force; 0 if there is none.
		Version id.Version `json:"version"`
		// Ready tells whether it may be sent requests.
		Ready bool `json:"ready"`
		// NotReady says why not.
		NotReady string `json:"notReady,omitempty"`
		// Leaving tells whether it is about to stop.
		Leaving bool `json:"leaving"`
		// Store tells how the platform's store answers.
		Store Seen `json:"store"`
		// Instances lists the entries.
		Instances []InstanceStatus `json:"instances"`
		// Links lists the links between regions.
		Links []LinkStatus `json:"links"`
		// Services lists the services.
		Services []ServiceStatus `json:"services"`
	}

	// Seen tells how old a measurement is.
	Seen struct {
		// State is fresh, stale, missing or future.
		State string `json:"state"`
		// Age is the time since it was taken; 0 if it is missing.
		Age unit.Duration `json:"age"`
	}

	// InstanceStatus is another entry, or the one that answers.
	InstanceStatus struct {
		// Name is the instance's name.
		Name id.Instance `json:"name,omitempty"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// Region is its region.
		Region id.Region `json:"region,omitempty"`
		// State says what is thought of it, such as alive, leaving or lost.
		State string `json:"state"`
		// Version is the configuration that it has in force.
		Version id.Version `json:"version"`
		// Seen is the age of its last heartbeat.
		Seen Seen `json:"seen"`
	}

	// LinkStatus is one direction of a link between regions.
	LinkStatus struct {
		// From is the sending region.
		From id.Region `json:"from,omitempty"`
		// To is the receiving region.
		To id.Region `json:"to,omitempty"`
		// Budget is what entries may send.
		Budget unit.BitRate `json:"budget"`
		// Used is what they send.
		Used unit.BitRate `json:"used"`
		// Seen is the age of Used.
		Seen Seen `json:"seen"`
	}

	// ServiceStatus is a service.
	ServiceStatus struct {
		// Name names the service.
		Name id.Service `json:"name,omitempty"`
		// Regions lists the headroom of its regions.
		Regions []Headroom `json:"regions"`
		// Servers lists its backend servers.
		Servers []ServerStatus `json:"servers"`
	}

	// Headroom is what is left of a service's slots in a region.
	Headroom struct {
		// Region is the region.
		Region id.Region `json:"region,omitempty"`
		// Slots is the sum of slots of backend servers that take new work.
		Slots int `json:"slots"`
		// Used is how many of them are in use.
		Used int `json:"used"`
	}

	// ServerStatus is a backend server.
	ServerStatus struct {
		// Name names the backend server.
		Name id.Server `json:"name,omitempty"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// State says whether it takes new work, and why not.
		State string `json:"state"`
		// Slots is how many requests it runs at the same time.
		Slots int `json:"slots"`
		// Used is how many of them the answering entry has in use.
		Used int `json:"used"`
		// Home is the entry that grants its slots; empty if it isn't known.
		Home id.Instance `json:"home,omitempty"`
		// Seen is the age of its own load report.
		Seen Seen `json:"seen"`
	}

	// Query asks where a request goes.
	Query struct {
		// Service names the service.
		Service id.Service `json:"service,omitempty"`
		// Caller is the caller's address.
		Caller netip.Addr `json:"caller"`
		// Method is the request's method.
		Method string `json:"method"`
		// Path is its path after the service's own prefix.
		Path string `json:"path"`
	}

	// Explanation says why a request goes where it goes.
	Explanation struct {
		// Service names the service.
		Service id.Service `json:"service,omitempty"`
		// Class is the matching request class; empty if none matches.
		Class id.Class `json:"class,omitempty"`
		// Version is the configuration that the explanation rests on.
		Version id.Version `json:"version"`
		// Code is the result code if the request would be refused now.
		Code result.Code `json:"code,omitempty"`
		// Entries lists the entries that a look-up names, best first.
		Entries []Choice `json:"entries"`
		// Servers lists the backend servers in the order of their choice.
		Servers []Choice `json:"servers"`
	}

	// Choice is one candidate with the reason for its place.
	Choice struct {
		// Name names the entry or the backend server.
		Name string `json:"name"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// Weight is its share; 0 for one that isn't chosen.
		Weight float64 `json:"weight"`
		// Why says what put it in its place.
		Why string `json:"why"`
	}

	// Target is what a drain is for: a backend server of a service, or an
	// entry instance.
	Target struct {
		// Service is the backend server's service.
		Service id.Service `json:"service,omitempty"`
		// Server names the backend server.
		Server id.Server `json:"server,omitempty"`
		// Instance names an entry instance.
		Instance id.Instance `json:"instance,omitempty"`
	}

	// Progress tells how far a drain is.
	Progress struct {
		// Target is what drains.
		Target Target `json:"target"`
		// Draining tells whether it takes no new work.
		Draining bool `json:"draining"`
		// Running is the number of requests still running there, as far as the
		// answering entry knows.
		Running int `json:"running"`
		// Since is the time since the drain began.
		Since unit.Duration `json:"since"`
		// Done tells whether nothing runs there any more.
		Done bool `json:"done"`
		// Text says what is waited for.
		Text string `json:"text,omitempty"`
	}

	// Quarantined is a kind of request that crashed backend servers.
	Quarantined struct {
		// ID names the quarantine.
		ID string `json:"id"`
		// Service is the requests' service.
		Service id.Service `json:"service,omitempty"`
		// Class is their class.
		Class id.Class `json:"class,omitempty"`
		// Crashes is the number of backend servers that crashed.
		Crashes int `json:"crashes"`
		// Left is the time until it ends by itself.
		Left unit.Duration `json:"left"`
	}
)

// Check tells what is wrong with the target, nil if nothing is.
func (t *Target) Check() *Error {
	server := t.Service != "" && t.Server != ""
	part := t.Service != "" || t.Server != ""
	if (t.Instance != "") == part || part != server {
		return Errorf(result.BadCommand, "a target is a service and a backend server, or an instance")
	}
	return nil
}

// String names the target.
func (t *Target) String() string {
	if t.Instance != "" {
		return "instance " + string(t.Instance)
	}
	return "backend server " + string(t.Service) + "/" + string(t.Server)
}

func (t *Target) query() url.Values {
	return url.Values{"service": {string(t.Service)}, "server": {string(t.Server)}, "instance": {string(t.Instance)}}
}

func (q *Query) query() url.Values {
	return url.Values{"service": {string(q.Service)}, "caller": {q.Caller.String()}, "method": {q.Method}, "path": {q.Path}}
}
