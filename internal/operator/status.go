package operator

import (
	"net/netip"
	"net/url"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// Status is the state of an entry and its view of the deployment.
	Status struct {
		// Instance is the entry that answers.
		Instance id.Instance `json:"instance,omitempty"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// Region is its region.
		Region id.Region `json:"region,omitempty"`
		// Incarnation distinguishes the process from earlier ones.
		Incarnation id.Incarnation `json:"incarnation"`
		// Version is the version of the active configuration; 0 if there is
		// none.
		Version id.Version `json:"version"`
		// Ready reports whether it is ready for requests.
		Ready bool `json:"ready"`
		// NotReady is the reason why it is not ready.
		NotReady string `json:"notReady,omitempty"`
		// Leaving reports whether it is shutting down.
		Leaving bool `json:"leaving"`
		// Store is the freshness of the last answer of the platform's store.
		Store Freshness `json:"store"`
		// Instances lists the entries.
		Instances []InstanceStatus `json:"instances"`
		// Links lists the links between regions.
		Links []LinkStatus `json:"links"`
		// Services lists the services.
		Services []ServiceStatus `json:"services"`
	}

	// Freshness is the state and the age of a measurement.
	Freshness struct {
		// State is fresh, stale, missing or future.
		State string `json:"state"`
		// Age is the time since the measurement; 0 if it is missing.
		Age unit.Duration `json:"age"`
	}

	// InstanceStatus is the status of an entry, which may be the one that
	// answers.
	InstanceStatus struct {
		// Name is the instance's name.
		Name id.Instance `json:"name,omitempty"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// Region is its region.
		Region id.Region `json:"region,omitempty"`
		// State is its state for lookups: live, leaving, down or doubtful.
		State string `json:"state"`
		// Version is the version of its active configuration.
		Version id.Version `json:"version"`
		// Seen is the freshness of its last heartbeat.
		Seen Freshness `json:"seen"`
	}

	// LinkStatus is the status of one direction of a link between regions.
	LinkStatus struct {
		// From is the sending region.
		From id.Region `json:"from,omitempty"`
		// To is the receiving region.
		To id.Region `json:"to,omitempty"`
		// Budget is the bandwidth that the answering entry may use.
		Budget unit.BitRate `json:"budget"`
		// Used is the bandwidth in use.
		Used unit.BitRate `json:"used"`
		// Seen is the freshness of Used.
		Seen Freshness `json:"seen"`
	}

	// ServiceStatus is the status of a service.
	ServiceStatus struct {
		// Name is the service's name.
		Name id.Service `json:"name,omitempty"`
		// Regions lists the headroom in its regions.
		Regions []Headroom `json:"regions"`
		// Servers lists its backend servers.
		Servers []ServerStatus `json:"servers"`
	}

	// Headroom is the number of a service's slots in a region, in total and in
	// use.
	Headroom struct {
		// Region is the region.
		Region id.Region `json:"region,omitempty"`
		// Slots is the sum of the slots of the backend servers that are not
		// leaving.
		Slots int `json:"slots"`
		// Used is the number of slots that the answering entry has in use.
		Used int `json:"used"`
	}

	// ServerStatus is the status of a backend server.
	ServerStatus struct {
		// Name is the backend server's name.
		Name id.Server `json:"name,omitempty"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// State states whether it takes new requests, or why not.
		State string `json:"state"`
		// Slots is its concurrency limit in requests.
		Slots int `json:"slots"`
		// Used is the number of slots that the answering entry has in use.
		Used int `json:"used"`
		// Home is the entry that grants its slots; empty if unknown.
		Home id.Instance `json:"home,omitempty"`
		// Seen is the freshness of its last load report.
		Seen Freshness `json:"seen"`
	}

	// Query describes a request whose routing is to be explained.
	Query struct {
		// Service is the service's name.
		Service id.Service `json:"service,omitempty"`
		// Caller is the caller's address.
		Caller netip.Addr `json:"caller"`
		// Method is the request's method.
		Method string `json:"method"`
		// Path is its path without the service's prefix.
		Path string `json:"path"`
	}

	// Explanation states how a request is routed, and why.
	Explanation struct {
		// Service is the service's name.
		Service id.Service `json:"service,omitempty"`
		// Class is the matching request class; empty if none matches.
		Class id.Class `json:"class,omitempty"`
		// Version is the version of the configuration used.
		Version id.Version `json:"version"`
		// Code is the result code if the request would be rejected now.
		Code result.Code `json:"code,omitempty"`
		// Entries lists the entries that a lookup returns, best first.
		Entries []Choice `json:"entries"`
		// Servers lists the backend servers in the order of preference.
		Servers []Choice `json:"servers"`
	}

	// Choice is a candidate with the reason for its rank.
	Choice struct {
		// Name is the name of the entry or the backend server.
		Name string `json:"name"`
		// Zone is its availability zone.
		Zone id.Zone `json:"zone,omitempty"`
		// Weight is its relative weight; 0 if it isn't chosen.
		Weight float64 `json:"weight"`
		// Why is the reason for its rank.
		Why string `json:"why"`
	}

	// Target is the target of a drain: a backend server of a service, or an
	// entry instance.
	Target struct {
		// Service is the backend server's service.
		Service id.Service `json:"service,omitempty"`
		// Server is the backend server's name.
		Server id.Server `json:"server,omitempty"`
		// Instance is the name of an entry instance.
		Instance id.Instance `json:"instance,omitempty"`
	}

	// Progress is the progress of a drain.
	Progress struct {
		// Target is the target of the drain.
		Target Target `json:"target"`
		// Draining reports whether the target is being drained.
		Draining bool `json:"draining"`
		// Running is the number of requests of the answering entry that still
		// run there.
		Running int `json:"running"`
		// Since is the time since the start of the drain.
		Since unit.Duration `json:"since"`
		// Done reports whether no request of the answering entry runs there
		// any more.
		Done bool `json:"done"`
		// Text describes what the drain is waiting for.
		Text string `json:"text,omitempty"`
	}

	// Quarantined describes requests with the same fingerprint that are in
	// quarantine because they crashed backend servers.
	Quarantined struct {
		// ID identifies the quarantine.
		ID string `json:"id"`
		// Service is the service of the requests.
		Service id.Service `json:"service,omitempty"`
		// Class is the class of the requests.
		Class id.Class `json:"class,omitempty"`
		// Crashes is the number of backend servers that crashed.
		Crashes int `json:"crashes"`
		// Left is the time until the quarantine expires.
		Left unit.Duration `json:"left"`
	}
)

// Check returns an error unless the target is either a backend server of a
// service or an instance.
func (t *Target) Check() *Error {
	server := t.Service != "" && t.Server != ""
	part := t.Service != "" || t.Server != ""
	if (t.Instance != "") == part || part != server {
		return Errorf(result.BadCommand, "a target is a service and a backend server, or an instance")
	}
	return nil
}

// String returns a description of the target for messages.
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
