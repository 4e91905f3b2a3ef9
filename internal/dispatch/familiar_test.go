package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// An object that is too hot for its owner is shared with a server that got some
// of its requests before, and only while that is recent.
func TestAHotObjectIsShared(t *testing.T) {
	is := is.New(t)
	d := newDispatcher()
	req := request(service.Read, 17)
	owner := choose(d, req)
	fill(owner, 2*slots-1)
	second, reason := d.Choose(start, req)
	is.Equal(reason, dispatch.Spill)
	second.End(start, roster.Outcome{})
	for range slots {
		owner.End(start, roster.Outcome{})
	}
	// The owner has all slots in use and no queue worth a spill.
	m, reason := d.Choose(start.Add(10*time.Second), req)
	is.Equal(reason, dispatch.Familiar)
	is.Equal(m.Name, second.Name)
	m.End(start, roster.Outcome{})
	m, reason = d.Choose(start.Add(26*time.Second), req)
	is.Equal(reason, dispatch.Owner)
	is.Equal(m.Name, owner.Name)
	_, reason = d.Choose(start.Add(10*time.Second), request(service.Read, 18))
	is.Equal(reason, dispatch.Owner) // another object
}
