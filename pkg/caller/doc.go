// Package caller is the client library for programs that call services through
// shallotpier's entries.
//
// A [Client] looks up the entries of a service at any entry, caches the answer
// while it is valid, and sends requests to these entries. When an entry fails,
// the client fails over to the next one, but retries a request only where that
// is safe: reads (GET and HEAD), requests that provably did not run, and
// at-most-once requests with their ticket. The configuration version of the
// lookup answers that it uses never decreases.
//
// Every [Answer] and every [Error] reports whether the request ran: yes, no, or
// unknown. After "unknown", the outcome has to be looked up in the service
// itself before the request is issued again.
//
// # Usage
//
//	c := &caller.Client{Entries: seeds}
//	ans, err := c.Do(ctx, &caller.Request{Service: "registry", Method: "GET", Path: "/findings/8"})
//	if err != nil {
//		return err // a *caller.Error
//	}
//	defer ans.Body.Close()
//
// An at-most-once request is sent with [Client.Once], which gets a ticket first:
//
//	ans, err := c.Once(ctx, &caller.Request{Service: "registry", Method: "POST", Path: "/certificates/8", Body: body})
package caller
