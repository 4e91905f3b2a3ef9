package replay

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// World is what a trace is played in.
type World struct {
	// Deployment has the entries and the delays.
	Deployment *deployment.Deployment
	// Service has the backend servers and the classes.
	Service *service.File
}

// Check tells whether the trace fits the world.
func (w *World) Check(t *Trace) error {
	for i := range t.Requests {
		r := &t.Requests[i]
		if r.Entry < 0 || r.Entry >= len(w.Deployment.Entries) {
			return eris.Errorf("request %d: entry %d of %d", i, r.Entry, len(w.Deployment.Entries))
		}
		if r.Class < 0 || r.Class >= len(w.Service.Classes) {
			return eris.Errorf("request %d: class %d of %d", i, r.Class, len(w.Service.Classes))
		}
		if i > 0 && r.At < t.Requests[i-1].At {
			return eris.Errorf("request %d is before the one that it follows", i)
		}
	}
	return nil
}

// delay returns the one-way delay between an entry and a server.
func (w *World) delay(entry, server int) time.Duration {
	return w.Deployment.Delay(w.Deployment.Entries[entry].Zone, w.Service.Servers[server].Zone)
}

// between returns the one-way delay between two entries.
func (w *World) between(a, b int) time.Duration {
	return w.Deployment.Delay(w.Deployment.Entries[a].Zone, w.Deployment.Entries[b].Zone)
}
