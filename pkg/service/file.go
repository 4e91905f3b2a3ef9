package service

import (
	"net/netip"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Kinds of requests.
const (
	// Read requests change nothing; they may be retried.
	Read Kind = "read"
	// Write requests change something; they are retried only if they provably
	// did not run.
	Write Kind = "write"
	// Once requests are executed at most once; they need a ticket.
	Once Kind = "once"
	// Upload requests are writes with a large body that takes long to send.
	Upload Kind = "upload"
)

type (
	// Kind determines whether and when requests of a class may be retried.
	Kind string

	// File is the configuration of one service.
	File struct {
		// Service names the service.
		Service id.Service `toml:"service" json:"service"`
		// Regions lists the regions that the service's traffic may go to.
		Regions []Region `toml:"regions" json:"regions"`
		// ShiftCap limits how fast traffic toward a region may rise.
		ShiftCap ShiftCap `toml:"shiftCap" json:"shiftCap"`
		// DrainTime is how long running requests may continue on a leaving
		// backend server (connection draining).
		DrainTime unit.Duration `toml:"drainTime" json:"drainTime"`
		// Retry limits the retries by entries.
		Retry Retry `toml:"retry" json:"retry"`
		// Classes lists the request classes; the first that matches applies.
		Classes []Class `toml:"classes" json:"classes"`
		// Servers lists the backend servers.
		Servers []Server `toml:"servers" json:"servers"`
	}

	// Region is a region that the service's traffic may go to.
	Region struct {
		// Name is the region's name.
		Name id.Region `toml:"name" json:"name"`
		// Weight is the region's share of the traffic, relative to the sum over
		// the regions; a region with weight 0 is used for overflow only.
		Weight int `toml:"weight" json:"weight"`
		// HeadroomFloor is the fraction of the region's slots, at least 0 and
		// less than 1, that drains by operators must leave free.
		HeadroomFloor float64 `toml:"headroomFloor" json:"headroomFloor"`
	}

	// ShiftCap limits the rise of the rate of admitted requests toward each
	// region: within any Window the rate may rise by at most Rise.
	ShiftCap struct {
		// Rise is in requests per second.
		Rise unit.Rate `toml:"rise" json:"rise"`
		// Window is the period over which the rise is measured.
		Window unit.Duration `toml:"window" json:"window"`
	}

	// Retry limits the retries by entries.
	Retry struct {
		// Attempts is the maximum number of sends of one request, including the
		// first.
		Attempts int `toml:"attempts" json:"attempts"`
		// Budget is the retry budget: the maximum ratio of retries to first
		// sends, 0 to 1.
		Budget float64 `toml:"budget" json:"budget"`
	}

	// Class is a request class: the requests with given methods and path prefix.
	Class struct {
		// Name is the class's name.
		Name id.Class `toml:"name" json:"name"`
		// Kind determines whether and when its requests may be retried.
		Kind Kind `toml:"kind" json:"kind"`
		// Methods lists the HTTP methods that match.
		Methods []string `toml:"methods" json:"methods"`
		// PathPrefix is matched against the path without the service's own
		// prefix; it starts with a slash.
		PathPrefix string `toml:"pathPrefix" json:"pathPrefix"`
		// Deadline is the maximum total duration of a request.
		Deadline unit.Duration `toml:"deadline" json:"deadline"`
		// BodyLimit is the maximum size of a request body, in bytes.
		BodyLimit unit.Bytes `toml:"bodyLimit" json:"bodyLimit"`
	}

	// Server is a backend server of the service.
	Server struct {
		// Name is the server's name, unique within the service.
		Name id.Server `toml:"name" json:"name"`
		// Address is its IP address and port.
		Address netip.AddrPort `toml:"address" json:"address"`
		// Zone is the availability zone in which it runs.
		Zone id.Zone `toml:"zone" json:"zone"`
		// Slots is the concurrency limit: the number of requests that it runs at
		// the same time.
		Slots int `toml:"slots" json:"slots"`
		// Connections is the maximum number of open connections to it; at least
		// Slots.
		Connections int `toml:"connections" json:"connections"`
		// Leaving marks a server that is to be drained: it gets no new requests.
		Leaving bool `toml:"leaving,omitempty" json:"leaving,omitempty"`
	}
)

// Match returns the first class that matches method and path; nil if there is
// none. The path starts with a slash and does not include the service's own
// prefix.
func (f *File) Match(method, path string) *Class {
	for i := range f.Classes {
		if f.Classes[i].matches(method, path) {
			return &f.Classes[i]
		}
	}
	return nil
}

// Server returns the backend server with the name; nil if there is none.
func (f *File) Server(name id.Server) *Server {
	for i := range f.Servers {
		if f.Servers[i].Name == name {
			return &f.Servers[i]
		}
	}
	return nil
}

// Slots returns the sum of the slots of all servers that are not leaving.
func (f *File) Slots() int {
	sum := 0
	for i := range f.Servers {
		if !f.Servers[i].Leaving {
			sum += f.Servers[i].Slots
		}
	}
	return sum
}

// Safe reports whether requests of the kind may be retried without proof that
// they did not run.
func (k Kind) Safe() bool { return k == Read }

func (c *Class) matches(method, path string) bool {
	if !strings.HasPrefix(path, c.PathPrefix) {
		return false
	}
	for _, m := range c.Methods {
		if m == method {
			return true
		}
	}
	return false
}
