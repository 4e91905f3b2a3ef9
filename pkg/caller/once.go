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
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxTickets     = 3
)

// Once sends an at-most-once request. It gets a ticket, an idempotency key
// issued by an entry, and sends the request with it. While the outcome is
// unknown it retries with the same ticket, first at the issuing entry and then
// through the others. The request is executed at most once, however often it is
// sent. It is sent from Body; a request with a Stream is rejected.
//
// The error is an *Error. If its Ran is No, the request did not run and may be
// issued again; Yes means that it ran and only its answer is lost; Unknown means
// that the outcome has to be looked up in the service first.
func (c *Client) Once(ctx context.Context, req *Request) (*Answer, error) {
	if req.Stream != nil {
		return nil, &Error{Code: result.BadRequest, Ran: result.No, Err: errors.New("an at-most-once request needs a Body, not a Stream")}
	}
	ctx, cancel := c.withTimeout(ctx)
	entries, err := c.entries(ctx, req.Service)
	defer cancel()
	if err != nil {
		return nil, err
	}
	var failed *Error
	for range maxTickets {
		issuer, ticket, err := c.issueTicket(ctx, entries, req.Service)
		if err != nil {
			return nil, err
		}
		var ans *Answer
		if ans, failed = c.execute(ctx, req, ticket, ticketRoute(entries, issuer)); failed == nil {
			return ans, nil
		}
		if failed.Ran != result.No || !needsNewTicket(failed.Code) || ctx.Err() != nil {
			break
		}
		entries = moveToEnd(entries, issuer)
	}
	return nil, failed
}

// needsNewTicket reports whether a request that provably did not run should be
// tried with a new ticket of another entry.
func needsNewTicket(code result.Code) bool {
	return code == 0 || code == result.EntryLeaving || code == result.NotReady || code == result.TicketInvalid
}

// moveToEnd returns the entries with the one at addr moved to the end.
func moveToEnd(entries []lookup.Entry, addr netip.AddrPort) []lookup.Entry {
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

// execute sends the request, with exponential backoff, until its outcome is
// known, ctx ends or the maximum number of sends is reached.
func (c *Client) execute(ctx context.Context, req *Request, ticket string, to []netip.AddrPort) (*Answer, *Error) {
	var last *Error
	uncertain, backoff := false, initialBackoff
	for i := range max(c.attempts(), 2) {
		got := c.send(ctx, to[i%len(to)], req, &singleUseBody{}, ticket, 1)
		if got.err == nil {
			ans, err := buffered(got.answer)
			if err == nil {
				return ans, nil
			}
			got.err = &Error{Code: got.answer.Code, Ran: got.answer.Ran, Err: err}
		}
		last = got.err
		uncertain = uncertain || last.Ran == result.Unknown
		if last.Ran == result.No && !uncertain && needsNewTicket(last.Code) {
			break
		}
		if last.Ran == result.Yes && last.Err == nil || !retryableWithTicket(last) || !sleep(ctx, max(last.RetryAfter, backoff)) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if uncertain && last.Ran == result.No {
		last.Ran = result.Unknown // an earlier send may have run, or may still run
	}
	return nil, last
}

// retryableWithTicket reports whether a retry with the same ticket can still
// determine the outcome or get the answer.
func retryableWithTicket(e *Error) bool {
	switch e.Code {
	case 0, result.Served, result.Replayed, result.NoCapacity, result.ShiftCapped,
		result.LinkFull, result.NoServer, result.ConnectFailed, result.ShedByServer, result.TicketElsewhere:
		return true
	default:
		return false
	}
}

// issueTicket gets a ticket from the first entry that issues one, and returns
// that entry's address with it.
func (c *Client) issueTicket(ctx context.Context, entries []lookup.Entry, service id.Service) (netip.AddrPort, string, error) {
	var err error
	for i := range entries {
		var t lookup.Ticket
		url := "http://" + entries[i].Address.String() + "/v1/ticket/" + string(service)
		if err = c.callEntry(ctx, http.MethodPost, url, &t); err == nil && t.Ticket != "" {
			return entries[i].Address, t.Ticket, nil
		}
	}
	var e *Error
	if errors.As(err, &e) {
		return netip.AddrPort{}, "", &Error{Code: e.Code, Ran: result.No, RetryAfter: e.RetryAfter}
	}
	return netip.AddrPort{}, "", &Error{Ran: result.No, Err: err}
}

// ticketRoute lists the addresses to send to: the entry that issued the ticket
// twice, then the others, which forward the request to it.
func ticketRoute(entries []lookup.Entry, issuer netip.AddrPort) []netip.AddrPort {
	to := []netip.AddrPort{issuer, issuer}
	for i := range entries {
		if a := entries[i].Address; a != issuer {
			to = append(to, a)
		}
	}
	return to
}

// buffered reads the answer's body into memory, so that a truncated answer is
// detected while the request can still be retried.
func buffered(a *Answer) (*Answer, error) {
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	a.Body = io.NopCloser(bytes.NewReader(body))
	return a, nil
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
