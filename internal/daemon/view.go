package daemon

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/entry"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// propagationTime is the longest time until an update of one entry has reached
// all others.
const propagationTime = 3 * time.Second

// view is the data that requests read. It is immutable.
type view struct {
	// table is the active configuration.
	table entry.Table
}

// table returns the active configuration, nil if there is none or it is not
// ready to be served yet.
func (d *Daemon) table() *entry.Table {
	if v := d.view.Load(); v != nil && d.config.Ready() {
		return &v.table
	}
	return nil
}

// apply activates a configuration, unless its version is not newer than the
// active one.
func (d *Daemon) apply(t *config.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.view.Load(); old != nil && old.table.Version >= t.Version() {
		return
	}
	d.install(t.Version(), t.Publication.Files)
}

// noticesChanged rebuilds the view after a change of the drain notices.
func (d *Daemon) noticesChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	if old == nil {
		return
	}
	var files []service.File
	for _, f := range old.table.Services {
		files = append(files, *f)
	}
	d.install(old.table.Version, files)
}

// install builds and activates the view of a configuration, with the drain
// notices applied.
func (d *Daemon) install(version id.Version, files []service.File) {
	v := &view{table: entry.Table{Version: version, Services: map[id.Service]*service.File{}}}
	var marked []*service.File
	for i := range files {
		f := d.withNotices(&files[i])
		v.table.Services[f.Service] = f
		marked = append(marked, f)
	}
	now := time.Now()
	d.slots.Configure(marked)
	d.limits.configure(marked, now)
	d.router.Configure(marked, now)
	d.view.Store(v)
}

// withNotices returns a copy of the file with the drain notices applied to its
// servers.
func (d *Daemon) withNotices(f *service.File) *service.File {
	out := *f
	out.Servers = make([]service.Server, len(f.Servers))
	copy(out.Servers, f.Servers)
	for i := range out.Servers {
		s := &out.Servers[i]
		if n, ok := d.notices.Get(noticeKey(f.Service, s.Name)); ok {
			s.Leaving = n.Leaving
		}
	}
	return &out
}
