package daemon

import (
	"context"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission/pool"
	"github.com/shallotpier/shallotpier/internal/loads"
	"github.com/shallotpier/shallotpier/internal/lookup"
	"github.com/shallotpier/shallotpier/internal/measured"
	"github.com/shallotpier/shallotpier/internal/membership"
	"github.com/shallotpier/shallotpier/internal/shutdown"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const routerInterval = time.Second

// ownReport returns this entry's own state for its heartbeats.
func (d *Daemon) ownReport() membership.Own {
	report := membership.Own{Leaving: d.phase(1) != shutdown.Serving, Starting: d.starting()}
	t := d.table()
	if t == nil {
		return report
	}
	report.Config = d.config.Current().Ref()
	for _, f := range t.Services {
		report.Uses = append(report.Uses, d.uses(f)...)
	}
	return report
}

// uses returns the number of a service's slots that this entry uses, by region.
func (d *Daemon) uses(f *service.File) []loads.Use {
	sums := map[id.Region]int{}
	for i := range f.Servers {
		region, _ := d.Settings.Deployment.Region(f.Servers[i].Zone)
		sums[region] += d.used(f.Service, f.Servers[i].Name)
	}
	var out []loads.Use
	for region, n := range sums {
		if n > 0 {
			out = append(out, loads.Use{Service: f.Service, Region: region, Slots: n})
		}
	}
	return out
}

// used returns the number of a server's slots that this entry has in use.
func (d *Daemon) used(of id.Service, server id.Server) int {
	g := d.slots.Pool.Gate(pool.Key{Service: of, Server: server})
	if g == nil {
		return 0
	}
	_, used := g.Load()
	return used
}

// observeHeartbeat records the configuration version and the slots in use that
// a heartbeat reports.
func (d *Daemon) observeHeartbeat(b *membership.Beat) {
	d.config.Observe(b.Instance, b.Config)
	d.loads.Update(b.Instance, time.Now(), b.Uses)
}

// rebuildLookups builds a new lookup table from the current states of the
// entries.
func (d *Daemon) rebuildLookups() {
	now := time.Now()
	states := map[id.Instance]lookup.State{}
	for _, e := range d.Settings.Deployment.Entries {
		if e.Name == d.Settings.Instance {
			states[e.Name] = d.ownState()
			continue
		}
		m := d.members.Member(e.Name, now)
		states[e.Name] = m.Lookup()
	}
	t, err := lookup.Near(d.Settings.Deployment, d.Settings.Region, states).Build()
	if err != nil {
		d.Log.Error("lookup table not built", "error", err)
		return
	}
	d.lookups.table.Store(t)
}

func (d *Daemon) ownState() lookup.State {
	switch {
	case d.phase(1) != shutdown.Serving:
		return lookup.Leaving
	case d.starting():
		return lookup.Doubtful
	default:
		return lookup.Live
	}
}

// starting reports whether the entry can't take its share of the load yet. Once
// it has returned false, it never returns true again.
func (d *Daemon) starting() bool {
	if d.startupDone.Load() {
		return false
	}
	now := time.Now()
	if d.table() == nil || now.Before(d.limits.readyAt()) {
		return true
	}
	if !d.homesKnown() && now.Sub(d.started) < homesTimeout {
		return true
	}
	d.startupDone.Store(true)
	return false
}

// runRouter updates the router and the lookup table at regular intervals until
// ctx ends.
func (d *Daemon) runRouter(ctx context.Context) {
	tick := time.NewTicker(routerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			d.loads.Update(d.Settings.Instance, now, d.ownReport().Uses)
			d.router.Step(now, d.regionLoads)
			d.rebuildLookups()
		}
	}
}

// regionLoads returns the load of a service in each of its regions.
func (d *Daemon) regionLoads(f *service.File) map[id.Region]measured.Value[float64] {
	alive := d.alive()
	slots := map[id.Region]int{}
	for i := range f.Servers {
		if s := &f.Servers[i]; !s.Leaving {
			region, _ := d.Settings.Deployment.Region(s.Zone)
			slots[region] += s.Slots
		}
	}
	out := map[id.Region]measured.Value[float64]{}
	for _, r := range f.Regions {
		out[r.Name] = d.loads.Region(f.Service, r.Name, slots[r.Name], alive)
	}
	return out
}

// alive returns the entries with recent heartbeats, including this one.
func (d *Daemon) alive() []id.Instance {
	now := time.Now()
	out := []id.Instance{d.Settings.Instance}
	for _, name := range d.others() {
		if m := d.members.Member(name, now); m.Alive {
			out = append(out, name)
		}
	}
	return out
}
