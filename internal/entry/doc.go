// Package entry is the caller-facing side of an entry instance.
//
// A [Handler] answers three kinds of paths:
//
//	GET  /v1/lookup/{service}      which entries to use
//	POST /v1/ticket/{service}      a ticket for a once-only request
//	*    /s/{service}/{path...}    a request to the service
//
// A request is taken apart once, into a [call], and goes through the same
// steps: the path and the headers are checked, the class is matched, the
// fingerprint is checked against the quarantine, a ticket is used if the class
// is once-only, a permit is asked for, and the request is sent. Each way out
// has a result code; every answer carries the code and whether the request
// ran, and every request leaves one log line.
//
// A request is read from one immutable [Table] and takes no lock that all
// requests share. Bodies up to a small bound are read before the request is
// sent, so that they can be fingerprinted and sent again; longer ones are
// streamed. The answers to reads are held back up to a small bound, so that an
// answer that breaks off can still be asked for again.
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
