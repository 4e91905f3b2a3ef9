// Package wan stands in for the network between availability zones: loopback
// connections on which every byte arrives one-way delays later.
//
// A [Network] knows the zone of each address. A dialed connection is a real
// TCP connection, so that its deadlines, half-closing and socket queues are
// those of the system; a relay behind it holds what is sent for the delay of
// the deployment. Connecting takes one round trip. The capacity of links is
// not modelled.
//
// # Usage
//
//	n := &wan.Network{World: world}
//	defer n.Close()
//	n.Place(server.Address, server.Zone)
//	conn, err := n.Dial(ctx, "east-kakheti-1", server.Address)
package wan
