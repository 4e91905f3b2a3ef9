package replay

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Environment holds the deployment and the service with which a trace is
// replayed.
type Environment struct {
	// Deployment holds the entries and the network delays.
	Deployment *deployment.Deployment
	// Service holds the backend servers and the request classes.
	Service *service.File
}

// Check returns an error if the trace refers to an entry or class that does not
// exist, or is not in order of time.
func (env *Environment) Check(t *Trace) error {
	for i := range t.Requests {
		r := &t.Requests[i]
		if r.Entry < 0 || r.Entry >= len(env.Deployment.Entries) {
			return eris.Errorf("request %d: no entry %d, the deployment has %d", i, r.Entry, len(env.Deployment.Entries))
		}
		if r.Class < 0 || r.Class >= len(env.Service.Classes) {
			return eris.Errorf("request %d: no class %d, the service has %d", i, r.Class, len(env.Service.Classes))
		}
		if i > 0 && r.At < t.Requests[i-1].At {
			return eris.Errorf("request %d arrives before the previous request", i)
		}
	}
	return nil
}

// serverDelay returns the one-way network delay between an entry and a server.
func (env *Environment) serverDelay(entry, server int) time.Duration {
	return env.Deployment.Delay(env.Deployment.Entries[entry].Zone, env.Service.Servers[server].Zone)
}

// entryDelay returns the one-way network delay between two entries.
func (env *Environment) entryDelay(a, b int) time.Duration {
	return env.Deployment.Delay(env.Deployment.Entries[a].Zone, env.Deployment.Entries[b].Zone)
}
