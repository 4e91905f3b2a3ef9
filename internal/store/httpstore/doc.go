// Package httpstore is the HTTP client of the platform's object store.
//
// A [Client] implements store.Store. Its errors distinguish writes that did not
// take effect from those that may have: it returns store.ErrUnavailable only if
// no connection was available for the write or the store rejected it with
// status 429, and store.ErrAmbiguous for every other failure without a final
// answer, such as a reset, a timeout or a 5xx status. It never retries a write.
// It uses net/http without a circuit breaker, which would reject calls at
// random although the code that calls the store already limits its rate.
//
// # Usage
//
//	s := &httpstore.Client{Base: "http://10.0.0.1:7000"}
//	obj, err := s.Get(ctx, "config/current")
package httpstore
