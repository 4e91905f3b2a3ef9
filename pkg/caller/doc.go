// Package caller is the client for programs that call services through
// shallotpier's entries.
//
// A [Client] asks any entry which ones to use, keeps the answer for as long as
// it is valid, and sends requests to them. When an entry fails it goes on to
// the next, but sends a request again only where that is safe: reads, requests
// that provably did not run, and once-only requests with their ticket. The
// configuration version that it sees never falls.
//
// Every [Answer] and every [Error] tells whether the request ran: yes, no, or
// unknown. After "unknown" the outcome has to be looked up in the service
// itself before the request is made anew.
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
// A once-only request is sent with Once, which gets a ticket first:
//
//	ans, err := c.Once(ctx, &caller.Request{Service: "registry", Method: "POST", Path: "/certificates/8", Body: body})
package caller
