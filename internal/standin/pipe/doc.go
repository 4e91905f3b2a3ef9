// Package pipe is an in-memory network for tests under testing/synctest, whose fake
// clock doesn't work with loopback sockets.
//
// A [Network] connects listeners and dialers by address. Like those of net.Pipe,
// its connections support deadlines and have no buffer; in addition, each
// direction can be closed separately.
//
// # Usage
//
//	var n pipe.Network
//	l, err := n.Listen(addr)
//	go server.Serve(l)
//	conn, err := n.Dial(ctx, addr)
package pipe
