package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/shallotpier/shallotpier/internal/entry"
	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	spreadTime = 3 * time.Second
	watchPause = 200 * time.Millisecond
)

// view is what requests read. It is immutable.
type view struct {
	// table is the configuration in force.
	table entry.Table
	// order holds each service's servers, nearest first.
	order map[id.Service][]*service.Server
}

// table returns the configuration in force, nil if there is none yet.
func (d *Daemon) table() *entry.Table {
	if v := d.view.Load(); v != nil {
		return &v.table
	}
	return nil
}

// watchConfig puts each newer publication in force until ctx ends.
func (d *Daemon) watchConfig(ctx context.Context) {
	var seen store.Version
	for ctx.Err() == nil {
		o, err := d.store.Watch(ctx, publish.CurrentKey, seen)
		if err != nil {
			if !errors.Is(err, context.Canceled) {
				time.Sleep(watchPause)
			}
			continue
		}
		seen = o.Version
		p, err := publish.Decode(o)
		if err != nil {
			d.Log.Error("configuration", "error", err)
			continue
		}
		d.apply(p)
	}
}

// apply puts a publication in force if it is newer than the one in force.
func (d *Daemon) apply(p *publish.Publication) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.view.Load(); old != nil && old.table.Version >= p.Version {
		return
	}
	d.install(p.Version, p.Files)
	d.Log.Info("configuration", "version", p.Version, "author", p.Author, "services", len(p.Files))
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
	v := &view{table: entry.Table{Version: version, Services: map[id.Service]*service.File{}}, order: map[id.Service][]*service.Server{}}
	var marked []*service.File
	for i := range files {
		f := d.mark(&files[i])
		v.table.Services[f.Service] = f
		v.order[f.Service] = d.nearest(f)
		marked = append(marked, f)
	}
	d.view.Store(v)
	d.slots.Configure(marked)
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
