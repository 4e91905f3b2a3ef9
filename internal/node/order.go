package node

import (
	"time"

	"github.com/shallotpier/shallotpier/internal/entryview"
)

// stepOrder updates the order of refusal, which applies if the configuration in force holds
// organisations.
func (n *Node) stepOrder(now time.Time) {
	if c := n.config.Load(); c == nil || c.Organisations == nil {
		n.order.Clear()
		return
	}
	n.order.Step(now)
}

// capacityStates returns who gets the capacity of each service.
func (n *Node) capacityStates() []entryview.Capacity {
	var out []entryview.Capacity
	for _, s := range n.order.States() {
		c := entryview.Capacity{Service: s.Service, Refused: s.Refused}
		for _, g := range s.Groups {
			c.Groups = append(c.Groups, entryview.CapacityGroup{
				Priority: g.Class.Priority, RoutePriority: g.Class.RoutePriority, Kind: g.Class.Kind, Share: string(g.Share), Demand: g.Demand, Served: g.Served,
			})
		}
		for _, o := range s.Above {
			c.Above = append(c.Above, entryview.AboveShare{
				Organisation: o.Name, Kind: o.Class.Kind, Priority: o.Class.Priority, Demand: o.Demand, Usual: o.Usual, Above: o.Above,
			})
		}
		out = append(out, c)
	}
	return out
}
