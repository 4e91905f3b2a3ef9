package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/internal/homes"
	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/lease"
	"github.com/shallotpier/shallotpier/internal/shutdown"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	leasePrefix = "lease/home/"
	// leaseDuration is the lifetime of a lease. It results in a round of reads
	// and renewals about every 2.7 s.
	leaseDuration = 9 * time.Second
	// grantLifetime is longer than a round of lease reads with its calls, so
	// that grants whose home is lost stay valid while reads confirm their term.
	grantLifetime = 6 * time.Second
	// grantRenewInterval tolerates the loss of one report in three and keeps
	// the reports of an idle entry within the budget for control traffic.
	grantRenewInterval = 2 * time.Second
	configPollInterval = 50 * time.Millisecond
	// homesTimeout is how long a starting entry waits until every bucket has a
	// home.
	homesTimeout = 15 * time.Second
)

// homeLeases returns the home entries of backend servers from the leases in
// the store. It implements shared.Homes.
type homeLeases struct {
	keeper *lease.Keeper
	// preferred returns the entry that should be home of the named bucket.
	preferred func(name string) (id.Instance, bool)
}

// Home returns the home of a bucket and its term, as last read from the store.
// Until the lease has been read, it returns the preferred home with term 0; if
// that entry is the home, its answer contains the term.
func (h homeLeases) Home(b wire.Bucket) (id.Instance, id.Term, bool) {
	r, _, ok := h.keeper.Record(bucketName(b))
	if !ok {
		preferred, found := h.preferred(bucketName(b))
		return preferred, 0, found
	}
	return r.Holder.Instance, r.Term, !r.Released
}

// Authority returns the term in which this entry is home of a bucket, and the
// end of its lease.
func (h homeLeases) Authority(b wire.Bucket) (id.Term, time.Time, bool) {
	now := time.Now()
	g, ok := h.keeper.Held(bucketName(b))
	return g.Term, now.Add(g.Remaining), ok
}

// Confirmed returns the term found by the last read of the store, and when that
// read began. A released lease keeps its term until another entry acquires it,
// so grants made under the term stay valid until then.
func (h homeLeases) Confirmed(b wire.Bucket) (id.Term, time.Time, bool) {
	r, age, ok := h.keeper.Record(bucketName(b))
	return r.Term, time.Now().Add(-age), ok
}

// RequestTerm requests a new term for a bucket.
func (h homeLeases) RequestTerm(b wire.Bucket) { h.keeper.RequestTerm(bucketName(b)) }

func bucketName(b wire.Bucket) string { return string(b.Service) + "/" + string(b.Zone) }

// prepareLeases builds the keeper of the home leases.
func (d *Daemon) prepareLeases() {
	d.leases = &lease.Keeper{
		Store: d.store, Prefix: leasePrefix, Self: lease.Owner{Instance: d.Settings.Instance, Incarnation: d.incarnation},
		Lifetime: leaseDuration, Names: d.buckets, Want: d.wantsHome, Gone: d.removedByPlatform, Log: d.Log,
	}
}

// keepLeases waits for the first configuration, then acquires and renews leases
// until ctx ends.
func (d *Daemon) keepLeases(ctx context.Context) {
	tick := time.NewTicker(configPollInterval)
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

// buckets returns the names of the buckets of the active configuration.
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

// homesKnown reports whether every bucket has a home according to the last
// reads of the store, so that slots can be obtained.
func (d *Daemon) homesKnown() bool {
	for _, name := range d.buckets() {
		if r, _, ok := d.leases.Record(name); !ok || r.Released {
			return false
		}
	}
	return true
}

// wantsHome reports whether this entry should be home of a bucket. A home keeps
// the bucket until it shuts down, even if a nearer entry joins: a bucket that
// moves without a handover of its free slots has fewer slots until the longest
// request deadline has passed.
func (d *Daemon) wantsHome(name string) bool {
	if d.phase(1) != shutdown.Serving && (d.slots.UnusedReturned() || d.closed()) {
		return false
	}
	if _, held := d.leases.Held(name); held {
		return true
	}
	best, ok := d.preferredHome(name)
	return ok && best == d.Settings.Instance
}

// preferredHome returns the entry that should be home of the named bucket.
func (d *Daemon) preferredHome(name string) (id.Instance, bool) {
	service, zone, _ := strings.Cut(name, "/")
	region, _ := d.Settings.Deployment.Region(id.Zone(zone))
	return homes.Choose(homes.Bucket{Service: id.Service(service), Zone: id.Zone(zone), Region: region}, d.candidates())
}

// candidates returns the entries that may become home. This entry remains a
// candidate during shutdown, until it has handed over its free slots.
func (d *Daemon) candidates() []homes.Candidate {
	now := time.Now()
	var out []homes.Candidate
	for _, e := range d.Settings.Deployment.Entries {
		if e.Name != d.Settings.Instance {
			m := d.members.Member(e.Name, now)
			if !m.Alive || m.Own.Leaving || m.Listed == instances.Gone {
				continue
			}
		}
		region, _ := d.Settings.Deployment.Region(e.Zone)
		out = append(out, homes.Candidate{Instance: e.Name, Zone: e.Zone, Region: region})
	}
	return out
}

// removedByPlatform reports whether the platform lists an instance as stopped.
func (d *Daemon) removedByPlatform(name id.Instance) bool {
	m := d.members.Member(name, time.Now())
	return m.Listed == instances.Gone
}
