// Package pipe is a network in memory for tests with a paused clock, where
// loopback sockets can't be used.
//
// A [Network] joins listeners and dialers by address. Its connections have
// deadlines and no buffer, as those of net.Pipe, and can be closed for each
// direction by itself.
//
// # Usage
//
//	var n pipe.Network
//	l, err := n.Listen(addr)
//	go server.Serve(l)
//	conn, err := n.Dial(ctx, addr)
package pipe
