package forward_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// A server that breaks off a connection and takes no new one has crashed only if its path
// works. Requests must not be blamed for the loss of a path that is known already, so that
// no other server on it is thought to be reachable; nor may a crash be missed because all
// servers of a service have crashed.
func TestCrashesAreToldFromCutPaths(t *testing.T) {
	const refused = "127.0.0.1:1"
	tests := map[string]struct {
		others  []roster.Server // besides the server that breaks off, which is in z-1
		crashed bool
	}{
		"no other server": {nil, true},
		"all others out of reach": {[]roster.Server{
			{Name: "o-1", Service: svc, Zone: "z-1", Address: refused}, {Name: "o-2", Service: svc, Zone: "z-2", Address: refused},
		}, false},
		"the others of its zone out of reach": {[]roster.Server{
			{Name: "o-1", Service: svc, Zone: "z-1", Address: refused}, {Name: "o-2", Service: svc, Zone: "z-2", Address: "live"},
		}, false},
		"the only one of its zone": {[]roster.Server{{Name: "o-2", Service: svc, Zone: "z-2", Address: "live"}}, true},
		"others of its service crashed too": {[]roster.Server{
			{Name: "o-1", Service: svc, Zone: "z-1", Address: refused}, {Name: "o-2", Service: "other", Zone: "z-1", Address: "live"},
		}, true},
		"the other of its service crashed unnoticed": {[]roster.Server{
			{Name: "u-1", Service: svc, Zone: "z-1", Address: refused}, {Name: "o-2", Service: "other", Zone: "z-1", Address: "live"},
		}, true},
		"all others have ended":            {[]roster.Server{{Name: "e-1", Service: svc, Zone: "z-1", Address: refused}}, true},
		"another one of its zone in reach": {[]roster.Server{{Name: "o-1", Service: svc, Zone: "z-1", Address: "live"}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, live := start(t, service.Write, "crash"), start(t, service.Write, "ok")
			servers := []roster.Server{{Name: "i-0", Service: svc, Zone: "z-1", Address: f.backend.listeners[0].Addr().String(), Slots: 6}}
			for _, o := range tt.others {
				if o.Slots = 6; o.Address == "live" {
					o.Address = live.backend.listeners[0].Addr().String()
				}
				servers = append(servers, o)
			}
			f.roster.Replace(time.Now(), servers)
			for _, m := range f.members("i-0") {
				if m.Name == "e-1" {
					f.roster.RecordEnd(time.Now(), m)
				}
				for k := 0; m.Name[0] == 'o' && m.Address == refused && k < 5; k++ { // until it counts as out of reach
					f.roster.RecordCheck(time.Now(), m, false)
				}
			}
			f.askUntilSent(t)
			for end := time.Now().Add(time.Second); time.Now().Before(end) && f.crashes() == 0; time.Sleep(10 * time.Millisecond) {
			}
			is.Equal(f.crashes() > 0, tt.crashed)
		})
	}
}

// members returns all servers but one.
func (f *fixture) members(but id.Server) []*roster.Member {
	var out []*roster.Member
	for _, svc := range f.roster.View().Services() {
		for _, m := range f.roster.View().Members(svc) {
			if m.Name != but {
				out = append(out, m)
			}
		}
	}
	return out
}

// askUntilSent sends requests until one has reached a server.
func (f *fixture) askUntilSent(t *testing.T) {
	t.Helper()
	for range 200 {
		if f.backend.requests.Load() > 0 {
			return
		}
		f.ask(t.Context(), "/x/8", "body")
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no request has reached the server")
}
