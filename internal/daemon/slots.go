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

// prepareSlots builds the admission control of requests: leases, slots, router
// and limits.
func (d *Daemon) prepareSlots() {
	dep := d.Settings.Deployment
	d.prepareLeases()
	d.slots.Self = peer.Sender{Instance: d.Settings.Instance, Incarnation: d.incarnation}
	d.slots.Caller, d.slots.Homes, d.slots.Entries = d.node, homeLeases{d.leases, d.preferredHome}, len(dep.Entries)
	d.slots.Lifetime, d.slots.Renew, d.slots.Log = grantLifetime, grantRenewInterval, d.Log
	d.slots.Distance = func(z id.Zone) time.Duration { return dep.Delay(d.Settings.Zone, z) }
	for method, handler := range d.slots.Handlers() {
		d.node.Register(method, handler)
	}
	d.router = &routing.Router{Deployment: dep, Zone: d.Settings.Zone, Inner: &d.slots}
	d.slots.Pool.Order = d.router.Order
	d.slots.Pool.MaxWaiting = maxWaiting
	d.limits = limits{deployment: dep, region: d.Settings.Region, started: d.started}
	d.limits.prepare(d.started)
	d.admitter = &steered.Admitter{
		Inner: d.router, Self: d.Settings.Region, Region: dep.Region, Cap: d.limits.Cap, Link: d.limits.Link,
	}
}

// prober returns a prober that polls the health and load of backend servers.
func (d *Daemon) prober() *probe.Prober {
	return &probe.Prober{
		Services: d.files, Dial: d.DialBackend, Probed: d.router.SetProbe, Reported: d.router.SetReport,
		Rand: mathrand(d.incarnation + 3),
	}
}

// files returns the service files of the active configuration.
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
