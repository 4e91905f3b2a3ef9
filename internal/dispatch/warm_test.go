package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Requests on an object that is too hot for its owner go to a second server that
// handled some of them before, but only while that was recent (15 s).
func TestHotObjectIsSharedWithWarmServer(t *testing.T) {
	is := is.New(t)
	d := newDispatcher()
	req := request(service.Read, 17)
	owner := choose(d, req)
	fill(owner, 2*slots-1)
	c := d.Choose(start, req)
	is.Equal(c.Reason, dispatch.Spill)
	second := c.Server
	second.End(start, roster.Outcome{})
	for range slots {
		owner.End(start, roster.Outcome{})
	}
	// The owner has all slots in use, but its queue is too short for a spill.
	c = d.Choose(start.Add(10*time.Second), req)
	is.Equal(c.Reason, dispatch.Warm)
	is.Equal(c.Server.Name, second.Name)
	c.Server.End(start, roster.Outcome{})
	c = d.Choose(start.Add(26*time.Second), req)
	is.Equal(c.Reason, dispatch.Owner)
	is.Equal(c.Server.Name, owner.Name)
	c = d.Choose(start.Add(10*time.Second), request(service.Read, 18))
	is.Equal(c.Reason, dispatch.Owner) // another object
}
