package daemon

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/config"
	"github.com/shallotpier/shallotpier/internal/entry"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// spreadTime is the longest time until all entries know what one tells them.
const spreadTime = 3 * time.Second

// view is what requests read. It is immutable.
type view struct {
	// table is the configuration in force.
	table entry.Table
}

// table returns the configuration in force, nil if there is none yet that may
// be served.
func (d *Daemon) table() *entry.Table {
	if v := d.view.Load(); v != nil && d.config.Ready() {
		return &v.table
	}
	return nil
}

// apply puts a configuration in force.
func (d *Daemon) apply(t *config.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.view.Load(); old != nil && old.table.Version >= t.Version() {
		return
	}
	d.install(t.Version(), t.Publication.Files)
}

// noticed makes a new view after a notice.
func (d *Daemon) noticed() {
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

// install makes the view of a configuration, with the servers marked that
// notices say are leaving.
func (d *Daemon) install(version id.Version, files []service.File) {
	v := &view{table: entry.Table{Version: version, Services: map[id.Service]*service.File{}}}
	var marked []*service.File
	for i := range files {
		f := d.mark(&files[i])
		v.table.Services[f.Service] = f
		marked = append(marked, f)
	}
	now := time.Now()
	d.slots.Configure(marked)
	d.limits.configure(marked, now)
	d.steering.Configure(marked, now)
	d.view.Store(v)
}

// mark returns a copy of the file that takes the notices into account.
func (d *Daemon) mark(f *service.File) *service.File {
	out := *f
	out.Servers = make([]service.Server, len(f.Servers))
	copy(out.Servers, f.Servers)
	for i := range out.Servers {
		s := &out.Servers[i]
		if n, ok := d.board.Get(noticeKey(f.Service, s.Name)); ok {
			s.Leaving = n.Leaving
		}
	}
	return &out
}
