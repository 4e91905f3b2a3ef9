package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/internal/homes"
	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/lease"
	"github.com/shallotpier/shallotpier/internal/leaving"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	leasePrefix = "lease/home/"
	// leaseTime makes a round of reads and renewals come about every 2.7 s.
	leaseTime = 9 * time.Second
	// grantTime is longer than a round and the calls in it take, so that a
	// read of the term keeps grants alive when their home is lost.
	grantTime = 6 * time.Second
	// grantRenew lets one report in three be lost, and keeps reports at rest
	// within the budget for control.
	grantRenew = 2 * time.Second
	configPoll = 50 * time.Millisecond
	// homesTime is how long a starting entry waits for homes to be known.
	homesTime = 15 * time.Second
)

// homeLeases tells who is home of which backend servers, from the leases in
// the store. It implements shared.Homes.
type homeLeases struct {
	keeper *lease.Keeper
	// likely returns the entry that should be home.
	likely func(name string) (id.Instance, bool)
}

// Home returns the home of a bucket and its term, as last known. While the
// store has told nothing yet, the entry that should be home is asked; if it
// is, its answer tells the term.
func (h homeLeases) Home(b wire.Bucket) (id.Instance, id.Term, bool) {
	r, _, ok := h.keeper.Record(bucketName(b))
	if !ok {
		likely, found := h.likely(bucketName(b))
		return likely, 0, found
	}
	return r.Holder.Instance, r.Term, !r.Released
}

// Authority returns the term in which this entry is home, and until when.
func (h homeLeases) Authority(b wire.Bucket) (id.Term, time.Time, bool) {
	now := time.Now()
	g, ok := h.keeper.Held(bucketName(b))
	return g.Term, now.Add(g.Remaining), ok
}

// Confirmed returns the term that the last read of the store showed, and when
// the read began. A released lease keeps its term until another entry takes
// it, so what was granted under the term lives on until then.
func (h homeLeases) Confirmed(b wire.Bucket) (id.Term, time.Time, bool) {
	r, age, ok := h.keeper.Record(bucketName(b))
	return r.Term, time.Now().Add(-age), ok
}

// Raise asks for a new term.
func (h homeLeases) Raise(b wire.Bucket) { h.keeper.Raise(bucketName(b)) }

func bucketName(b wire.Bucket) string { return string(b.Service) + "/" + string(b.Zone) }

// prepareLeases builds the leases on the homes of backend servers.
func (d *Daemon) prepareLeases() {
	d.leases = &lease.Keeper{
		Store: d.store, Prefix: leasePrefix, Self: lease.Owner{Instance: d.Settings.Instance, Incarnation: d.incarnation},
		Lifetime: leaseTime, Names: d.buckets, Want: d.wantsHome, Gone: d.gone, Log: d.Log,
	}
}

// keepLeases keeps the leases until ctx ends, from the first configuration on.
func (d *Daemon) keepLeases(ctx context.Context) {
	tick := time.NewTicker(configPoll)
	defer tick.Stop()
	for d.view.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	_ = d.leases.Run(ctx)
}

// buckets names the buckets of the configuration in force.
func (d *Daemon) buckets() []string {
	var out []string
	for _, f := range d.files() {
		seen := map[id.Zone]bool{}
		for i := range f.Servers {
			if z := f.Servers[i].Zone; !seen[z] {
				seen[z] = true
				out = append(out, bucketName(wire.Bucket{Service: f.Service, Zone: z}))
			}
		}
	}
	return out
}

// homesKnown tells whether every bucket has a home, as far as is known, so that
// slots can be had.
func (d *Daemon) homesKnown() bool {
	for _, name := range d.buckets() {
		if r, _, ok := d.leases.Record(name); !ok || r.Released {
			return false
		}
	}
	return true
}

// wantsHome tells whether this entry should be home of a bucket. A home stays
// home until it leaves, also when a nearer entry comes: a bucket that moves
// without its free slots handed over has fewer for the longest deadline.
func (d *Daemon) wantsHome(name string) bool {
	if d.phase(1) != leaving.Serving && (d.slots.Handed() || d.closed()) {
		return false
	}
	if _, held := d.leases.Held(name); held {
		return true
	}
	best, ok := d.likelyHome(name)
	return ok && best == d.Settings.Instance
}

// likelyHome returns the entry that should be home of a bucket.
func (d *Daemon) likelyHome(name string) (id.Instance, bool) {
	service, zone, _ := strings.Cut(name, "/")
	region, _ := d.Settings.World.Region(id.Zone(zone))
	return homes.Choose(homes.Bucket{Service: id.Service(service), Zone: id.Zone(zone), Region: region}, d.candidates())
}

// candidates returns the entries that may become home. This one stays among
// them until it has handed its free slots over.
func (d *Daemon) candidates() []homes.Candidate {
	now := time.Now()
	var out []homes.Candidate
	for _, e := range d.Settings.World.Entries {
		if e.Name != d.Settings.Instance {
			m := d.members.Member(e.Name, now)
			if !m.Heard || m.Own.Leaving || m.Listed == instances.Gone {
				continue
			}
		}
		region, _ := d.Settings.World.Region(e.Zone)
		out = append(out, homes.Candidate{Instance: e.Name, Zone: e.Zone, Region: region})
	}
	return out
}

// gone tells whether the platform says that an instance has ended.
func (d *Daemon) gone(name id.Instance) bool {
	m := d.members.Member(name, time.Now())
	return m.Listed == instances.Gone
}
