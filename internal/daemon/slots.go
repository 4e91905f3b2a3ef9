package daemon

import (
	"cmp"
	"slices"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/notices"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

func (d *Daemon) prepareSlots() {
	entries := d.Settings.World.Entries
	d.slots.Entries = len(entries)
	for i := range entries {
		if entries[i].Name == d.Settings.Instance {
			d.slots.Index = i
		}
	}
	d.slots.Pool.Order = d.order
	d.slots.Pool.MaxWaiting = maxWaiting
}

// order returns the servers that may run the request, nearest first.
func (d *Daemon) order(req *admission.Request) []*service.Server {
	v := d.view.Load()
	if v == nil {
		return nil
	}
	return v.order[req.Service.Service]
}

// nearest returns the servers of a service in allowed regions by delay.
func (d *Daemon) nearest(f *service.File) []*service.Server {
	allowed := map[id.Region]bool{}
	for _, r := range f.Regions {
		allowed[r.Name] = true
	}
	world := d.Settings.World
	var out []*service.Server
	for i := range f.Servers {
		s := &f.Servers[i]
		if region, ok := world.Region(s.Zone); ok && allowed[region] {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *service.Server) int {
		return cmp.Compare(world.Delay(d.Settings.Zone, a.Zone), world.Delay(d.Settings.Zone, b.Zone))
	})
	return out
}

func noticeKey(service id.Service, server id.Server) notices.Key {
	return notices.Key{Service: service, Server: server}
}
