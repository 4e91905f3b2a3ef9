// Package pipeline lets net/http handle requests that a caller sends ahead, which is
// known as HTTP pipelining: further requests on a connection, before the first one has been
// answered.
//
// net/http reads the next request of a connection after it has answered the one before.
// A [Listener] splits a connection on which requests are sent ahead into several lanes, each
// of which net/http serves as a connection of its own, and writes the answers in the order
// of the requests. A connection on which none are sent ahead is passed through: it has one
// lane, without a goroutine or a buffer of its own.
//
// Only requests that may run more than once are handled beside others, see
// [Listener.Concurrent]. Any other one waits until those before it have been answered, and
// those behind it wait for its answer. So do requests with a body. After a request whose
// end can't be told for certain, the connection isn't split any more.
//
// An answer that closes the connection is the last one. Requests behind it that wait are
// never handled.
//
// # Limits
//
// The requests of a connection that are handled at the same time, the bytes of requests
// that wait, and the bytes of answers that wait for those before them are limited. At a limit
// the connection isn't read, or the handler of the answer waits.
//
// # Usage
//
//	l := &pipeline.Listener{Listener: tcp, Concurrent: idempotent}
//	server := &http.Server{Handler: h, ConnState: l.OnStateChange, ConnContext: l.ConnContext}
//	go server.Serve(l)
//	...
//	l.Settle(ctx) // before a graceful shutdown
//	server.Shutdown(ctx)
package pipeline
