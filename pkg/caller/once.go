package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	maxTickets = 3
)

// Once sends a once-only request. It gets a ticket from an entry and sends the
// request with it, again with the same ticket as long as the outcome is open,
// to that entry and then through others. However often it is sent, the request
// is executed at most once.
//
// The error is an *Error. Its Ran tells the outcome: No, and the request may
// be made anew; Yes, it ran and only its answer is lost; Unknown, and the
// outcome has to be looked up in the service first.
func (c *Client) Once(ctx context.Context, req *Request) (*Answer, error) {
	if req.Stream != nil {
		return nil, &Error{Code: result.BadRequest, Ran: result.No, Err: errors.New("a once-only request needs a Body, not a Stream")}
	}
	ctx, cancel := c.bound(ctx)
	entries, err := c.entries(ctx, req.Service)
	defer cancel()
	if err != nil {
		return nil, err
	}
	var failed *Error
	for range maxTickets {
		minting, ticket, err := c.ticket(ctx, entries, req.Service)
		if err != nil {
			return nil, err
		}
		var ans *Answer
		if ans, failed = c.execute(ctx, req, ticket, route(entries, minting)); failed == nil {
			return ans, nil
		}
		if failed.Ran != result.No || !renew(failed.Code) || ctx.Err() != nil {
			break
		}
		entries = without(entries, minting)
	}
	return nil, failed
}

// renew tells whether another ticket may do better after a proved "no".
func renew(code result.Code) bool {
	return code == 0 || code == result.EntryLeaving || code == result.NotReady || code == result.TicketInvalid
}

// without returns the entries with one moved to the end.
func without(entries []lookup.Entry, addr netip.AddrPort) []lookup.Entry {
	var first, last []lookup.Entry
	for i := range entries {
		if entries[i].Address == addr {
			last = append(last, entries[i])
		} else {
			first = append(first, entries[i])
		}
	}
	return append(first, last...)
}

// execute sends the request until its outcome is known, or ctx or the sends
// have run out.
func (c *Client) execute(ctx context.Context, req *Request, ticket string, to []netip.AddrPort) (*Answer, *Error) {
	var last *Error
	doubt, pause := false, firstPause
	for i := range max(c.attempts(), 2) {
		got := c.send(ctx, to[i%len(to)], req, &oneStream{}, ticket, 1)
		if got.err == nil {
			ans, err := whole(got.answer)
			if err == nil {
				return ans, nil
			}
			got.err = &Error{Code: got.answer.Code, Ran: got.answer.Ran, Err: err}
		}
		last = got.err
		doubt = doubt || last.Ran == result.Unknown
		if last.Ran == result.No && !doubt && renew(last.Code) {
			break
		}
		if last.Ran == result.Yes && last.Err == nil || !open(last) || !wait(ctx, max(last.RetryAfter, pause)) {
			break
		}
		pause = min(2*pause, maxPause)
	}
	if doubt && last.Ran == result.No {
		last.Ran = result.Unknown // an earlier send may still be on its way
	}
	return nil, last
}

// open tells whether sending the request again with its ticket can tell more.
func open(e *Error) bool {
	switch e.Code {
	case 0, result.Served, result.Replayed, result.NoCapacity, result.ShiftCapped,
		result.LinkFull, result.NoServer, result.ConnectFailed, result.ShedByServer, result.TicketElsewhere:
		return true
	default:
		return false
	}
}

// ticket gets a ticket from the first entry that gives one.
func (c *Client) ticket(ctx context.Context, entries []lookup.Entry, service id.Service) (netip.AddrPort, string, error) {
	var err error
	for i := range entries {
		var t lookup.Ticket
		url := "http://" + entries[i].Address.String() + "/v1/ticket/" + string(service)
		if err = c.call(ctx, http.MethodPost, url, &t); err == nil && t.Ticket != "" {
			return entries[i].Address, t.Ticket, nil
		}
	}
	var e *Error
	if errors.As(err, &e) {
		return netip.AddrPort{}, "", &Error{Code: e.Code, Ran: result.No, RetryAfter: e.RetryAfter}
	}
	return netip.AddrPort{}, "", &Error{Ran: result.No, Err: err}
}

// route lists where to send: twice to the entry that minted the ticket, then
// through the others.
func route(entries []lookup.Entry, minting netip.AddrPort) []netip.AddrPort {
	to := []netip.AddrPort{minting, minting}
	for i := range entries {
		if a := entries[i].Address; a != minting {
			to = append(to, a)
		}
	}
	return to
}

// whole reads the answer's body, so that a lost answer can be asked for again.
func whole(a *Answer) (*Answer, error) {
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	a.Body = io.NopCloser(bytes.NewReader(body))
	return a, nil
}

// wait waits for d and tells whether ctx lasted as long.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
