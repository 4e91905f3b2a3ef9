// Package wan simulates the network between availability zones on loopback: every
// byte arrives after the one-way delay between the zones.
//
// A [Network] maps addresses to zones. A dialled connection is a real TCP
// connection, so that deadlines, half-closing and socket buffers are those of the
// operating system; a relay behind it delays the data as configured in the
// deployment. Connecting takes one round trip. Link capacity is not modelled.
//
// # Usage
//
//	n := &wan.Network{Deployment: dep}
//	defer n.Close()
//	n.SetZone(server.Address, server.Zone)
//	conn, err := n.Dial(ctx, "east-kakheti-1", server.Address)
package wan
