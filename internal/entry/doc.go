// Package entry is the HTTP handler of an entry instance for callers.
//
// A [Handler] serves three kinds of paths:
//
//	GET  /v1/lookup/{service}      the entries to use
//	POST /v1/ticket/{service}      a ticket for an at-most-once request
//	*    /s/{service}/{path...}    a request to the service
//
// Each request is parsed once, into a [call], and passes the same steps: path
// and headers are validated, the request class is matched, the fingerprint is
// checked against the quarantine, a ticket is used if the class is
// at-most-once, a permit is acquired, and the request is sent. Every outcome
// has a result code; every response carries the code and whether the request
// ran, and every request writes one log line.
//
// A request reads one immutable [Table] and takes no lock that all requests
// share. Bodies up to a small limit are buffered before the request is sent, so
// that they can be fingerprinted and sent again; longer ones are streamed. The
// responses to reads are buffered up to a small limit before they are
// forwarded, so that a read whose response is truncated within that limit can
// be retried.
//
// # Usage
//
//	h := &entry.Handler{
//		Instance: "entry-1", Table: table.Load, Admitter: admitter,
//		Backend: &backend.Client{}, Lookup: lookups, Once: registry,
//		Quarantine: list, Log: log, Metrics: set,
//	}
//	server := httpserver.Server{Address: address, Handler: h}
package entry
