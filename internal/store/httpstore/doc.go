// Package httpstore speaks to the platform's object store over HTTP.
//
// A [Client] is a store.Store. Its errors are exact about writes: it reports
// store.ErrUnavailable only when no connection carried the write or the store
// answered that it refused it (429), and store.ErrAmbiguous for every other
// end without a final answer: a reset, a timeout, a status of the 500s. It
// never sends a write twice by itself. net/http is used as it is, because a
// circuit breaker would refuse calls by chance where the callers of the store
// already pace theirs.
//
// # Usage
//
//	s := &httpstore.Client{Base: "http://10.0.0.1:7000"}
//	obj, err := s.Get(ctx, "config/current")
package httpstore
