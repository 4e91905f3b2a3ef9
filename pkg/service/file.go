package service

import (
	"net/netip"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Kinds of requests.
const (
	// Read requests change nothing and may be sent again.
	Read Kind = "read"
	// Write requests change something; they are sent again only if they
	// provably did not run.
	Write Kind = "write"
	// Once requests are executed at most once and need a ticket.
	Once Kind = "once"
	// Upload requests are writes with a large body, sent over a long time.
	Upload Kind = "upload"
)

type (
	// Kind tells how requests of a class may be treated.
	Kind string

	// File is one service's steering intent, as its TOML file says it.
	File struct {
		// Service names the service.
		Service id.Service `toml:"service" json:"service"`
		// Regions lists where the service's traffic may go.
		Regions []Region `toml:"regions" json:"regions"`
		// ShiftCap bounds how fast traffic toward a region may rise.
		ShiftCap ShiftCap `toml:"shiftCap" json:"shiftCap"`
		// DrainTime is how long a leaving backend server keeps its work.
		DrainTime unit.Duration `toml:"drainTime" json:"drainTime"`
		// Retry bounds what the system sends again by itself.
		Retry Retry `toml:"retry" json:"retry"`
		// Classes lists the request classes; the first match counts.
		Classes []Class `toml:"classes" json:"classes"`
		// Servers lists the backend servers.
		Servers []Server `toml:"servers" json:"servers"`
	}

	// Region allows a region.
	Region struct {
		// Name is the region's name.
		Name id.Region `toml:"name" json:"name"`
		// Weight is the region's share among those allowed; 0 keeps it for
		// overflow alone.
		Weight int `toml:"weight" json:"weight"`
		// HeadroomFloor is the share of the region's slots, 0 to 1, that
		// planned drains must leave free.
		HeadroomFloor float64 `toml:"headroomFloor" json:"headroomFloor"`
	}

	// ShiftCap bounds the rise of admitted requests toward each region: in
	// any Window the admitted rate may rise by at most Rise.
	ShiftCap struct {
		// Rise is in requests a second.
		Rise unit.Rate `toml:"rise" json:"rise"`
		// Window is the time over which a rise is counted.
		Window unit.Duration `toml:"window" json:"window"`
	}

	// Retry bounds what the system sends again by itself.
	Retry struct {
		// Attempts is the greatest number of sends of one request.
		Attempts int `toml:"attempts" json:"attempts"`
		// Budget is the greatest share of retries among first sends, 0 to 1.
		Budget float64 `toml:"budget" json:"budget"`
	}

	// Class is a kind of request to the service.
	Class struct {
		// Name is the class's name.
		Name id.Class `toml:"name" json:"name"`
		// Kind tells how its requests may be treated.
		Kind Kind `toml:"kind" json:"kind"`
		// Methods lists the HTTP methods that match.
		Methods []string `toml:"methods" json:"methods"`
		// PathPrefix matches the path after the service's own prefix.
		PathPrefix string `toml:"pathPrefix" json:"pathPrefix"`
		// Deadline is the longest time a request may take in all.
		Deadline unit.Duration `toml:"deadline" json:"deadline"`
		// BodyLimit is the largest body that is taken.
		BodyLimit unit.Bytes `toml:"bodyLimit" json:"bodyLimit"`
	}

	// Server is a backend server of the service.
	Server struct {
		// Name is the server's name, unique within the service.
		Name id.Server `toml:"name" json:"name"`
		// Address is its IP address and port.
		Address netip.AddrPort `toml:"address" json:"address"`
		// Zone is the availability zone it stands in.
		Zone id.Zone `toml:"zone" json:"zone"`
		// Slots is how many requests it runs at the same time.
		Slots int `toml:"slots" json:"slots"`
		// Connections is how many open connections it carries.
		Connections int `toml:"connections" json:"connections"`
		// Leaving marks a server that gets no new work.
		Leaving bool `toml:"leaving,omitempty" json:"leaving,omitempty"`
	}
)

// Match returns the first class for method and path, nil if there is none.
// The path starts with a slash and has the service's own prefix removed.
func (f *File) Match(method, path string) *Class {
	for i := range f.Classes {
		if f.Classes[i].matches(method, path) {
			return &f.Classes[i]
		}
	}
	return nil
}

// Server returns the named backend server, nil if there is none.
func (f *File) Server(name id.Server) *Server {
	for i := range f.Servers {
		if f.Servers[i].Name == name {
			return &f.Servers[i]
		}
	}
	return nil
}

// Slots returns the sum of slots over the servers that are not leaving.
func (f *File) Slots() int {
	sum := 0
	for i := range f.Servers {
		if !f.Servers[i].Leaving {
			sum += f.Servers[i].Slots
		}
	}
	return sum
}

// Safe tells whether requests of the kind may be sent again without proof
// that they did not run.
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
