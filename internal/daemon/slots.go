package daemon

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/admission/steered"
	"github.com/shallotpier/shallotpier/internal/notices"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/probe"
	"github.com/shallotpier/shallotpier/internal/routing"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// prepareSlots builds what permits requests.
func (d *Daemon) prepareSlots() {
	world := d.Settings.World
	d.prepareLeases()
	d.slots.Self = peer.Sender{Instance: d.Settings.Instance, Incarnation: d.incarnation}
	d.slots.Caller, d.slots.Homes, d.slots.Entries = d.node, homeLeases{d.leases, d.likelyHome}, len(world.Entries)
	d.slots.Lifetime, d.slots.Renew, d.slots.Log = grantTime, grantRenew, d.Log
	d.slots.Distance = func(z id.Zone) time.Duration { return world.Delay(d.Settings.Zone, z) }
	for method, handler := range d.slots.Handlers() {
		d.node.Register(method, handler)
	}
	d.steering = &routing.Router{World: world, Zone: d.Settings.Zone, Inner: &d.slots}
	d.slots.Pool.Order = d.steering.Order
	d.slots.Pool.MaxWaiting = maxWaiting
	d.limits = limits{world: world, region: d.Settings.Region, started: d.started}
	d.limits.prepare(d.started)
	d.admitter = &steered.Admitter{
		Inner: d.steering, Self: d.Settings.Region, Region: world.Region, Cap: d.limits.Cap, Link: d.limits.Link,
	}
}

// prober returns what asks the backend servers for their health and load.
func (d *Daemon) prober() *probe.Prober {
	return &probe.Prober{
		Services: d.files, Dial: d.DialBackend, Probed: d.steering.SetProbe, Reported: d.steering.SetReport,
		Rand: mathrand(d.incarnation + 3),
	}
}

// files returns the service files in force.
func (d *Daemon) files() []*service.File {
	v := d.view.Load()
	if v == nil {
		return nil
	}
	var out []*service.File
	for _, f := range v.table.Services {
		out = append(out, f)
	}
	return out
}

func noticeKey(service id.Service, server id.Server) notices.Key {
	return notices.Key{Service: service, Server: server}
}
