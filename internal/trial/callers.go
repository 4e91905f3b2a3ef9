package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/caller"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// maxAnswer limits the bytes read of an answer's body.
const maxAnswer = 64 << 10

type (
	// callers sends requests as the callers of a deployment do and records the
	// results.
	callers struct {
		clients       []*caller.Client // one per entry, which it contacts first
		http          *http.Client
		attempts      *attempts
		start         time.Time
		shuttingDown  func(entry id.Instance) bool
		lookupEntries []netip.AddrPort // entries that answer the lookups

		mu  sync.Mutex
		rng *rand.Rand
	}

	// request is a request of a caller, which may be sent several times.
	request struct {
		name     string
		service  id.Service
		class    *service.Class
		client   int // index of the client that sends it, modulo their number
		body     func() io.Reader
		size     int64
		ticket   string
		deadline time.Duration // 0 for the deadline of the class
	}
)

// send sends the request through a [caller.Client], which retries where that is
// safe, and records the result as one attempt.
func (c *callers) send(ctx context.Context, r *request) error {
	a := c.newAttempt(r, r.name)
	req := &caller.Request{Service: r.service, Method: r.class.Methods[0], Path: r.path(), ID: a.ID}
	if r.body != nil {
		body, err := io.ReadAll(r.body())
		if err != nil {
			return err
		}
		req.Body = body
	}
	do := c.client(r.client).Do
	if r.class.Kind == service.Once {
		do = c.client(r.client).Once
	}
	answer, err := do(ctx, req)
	if err == nil {
		err = a.recordAnswer(answer, r)
	} else {
		a.recordError(err)
	}
	c.record(a)
	return err
}

// recordAnswer records the client's answer and validates its body.
func (a *Attempt) recordAnswer(answer *caller.Answer, r *request) error {
	defer answer.Body.Close()
	a.recordHeader(answer.Header)
	a.Code, a.Ran, a.Entry = answer.Code, answer.Ran, answer.Entry
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	a.AnswerValid = err == nil && answerMatches(string(body), r, a)
	if !a.AnswerValid {
		return eris.Errorf("answer %q is incomplete or belongs to another request", body)
	}
	return nil
}

// recordError records the result code of the client's error.
func (a *Attempt) recordError(err error) {
	var e *caller.Error
	if errors.As(err, &e) {
		a.Code, a.Ran = e.Code, e.Ran
	}
}

func (c *callers) newAttempt(r *request, name string) *Attempt {
	return &Attempt{ID: name, Request: r.name, Service: r.service, Kind: r.class.Kind, ShortDeadline: r.deadline > 0, Began: time.Since(c.start)}
}

// record completes the attempt and adds it to the recorded ones.
func (c *callers) record(a *Attempt) {
	a.Ended = time.Since(c.start)
	a.DuringShutdown = (a.DuringShutdown || c.shuttingDown(a.Entry)) && !a.ShortDeadline
	c.attempts.add(*a)
}

// sendTwice sends an at-most-once request and, once it was served, retries it
// with the same ticket, as a caller does that lost the answer.
func (c *callers) sendTwice(ctx context.Context, r *request) error {
	e, err := c.fetchTicket(ctx, r)
	if err != nil {
		return err
	}
	if _, err := c.sendOnce(ctx, r, 1, e); err != nil {
		return err
	}
	for n := range c.clients {
		r.client++
		if e, err = c.chooseEntry(ctx, r); err == nil {
			_, err = c.sendOnce(ctx, r, n+2, e)
		}
		if err == nil {
			return nil
		}
	}
	return err
}

// fetchTicket requests a ticket, through one client after another until an entry
// issues it, stores it in the request, and returns the entry.
func (c *callers) fetchTicket(ctx context.Context, r *request) (e lookup.Entry, err error) {
	for range c.clients {
		var t lookup.Ticket
		if e, err = c.chooseEntry(ctx, r); err == nil {
			err = c.getJSON(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/ticket/%s", e.Address, r.service), &t)
		}
		if err == nil {
			r.ticket = t.Ticket
			return e, nil
		}
		r.client++
	}
	return e, eris.Wrap(err, "get ticket")
}

func (c *callers) client(n int) *caller.Client { return c.clients[n%len(c.clients)] }

// chooseEntry looks up the entries of the service and picks one by weight.
func (c *callers) chooseEntry(ctx context.Context, r *request) (lookup.Entry, error) {
	answer, err := c.client(r.client).Lookup(ctx, r.service)
	if err != nil {
		return lookup.Entry{}, err
	}
	if e, ok := c.pickWeighted(answer.Entries); ok {
		return e, nil
	}
	return lookup.Entry{}, eris.New("no entry with a weight in the lookup's answer")
}

// lookupAt sends an uncached lookup of a service to an entry.
func (c *callers) lookupAt(ctx context.Context, at netip.AddrPort, of id.Service) (a lookup.Answer, err error) {
	return a, c.getJSON(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/lookup/%s", at, of), &a)
}

func (c *callers) pickWeighted(entries []lookup.Entry) (lookup.Entry, bool) {
	sum := 0
	for _, e := range entries {
		sum += e.Weight
	}
	if sum == 0 {
		return lookup.Entry{}, false
	}
	c.mu.Lock()
	at := c.rng.IntN(sum)
	c.mu.Unlock()
	for _, e := range entries {
		if at < e.Weight {
			return e, true
		}
		at -= e.Weight
	}
	return lookup.Entry{}, false
}

// sendOnce sends the request to an entry, without retries, and records the
// result as attempt n.
func (c *callers) sendOnce(ctx context.Context, r *request, n int, e lookup.Entry) (result.Ran, error) {
	a := c.newAttempt(r, fmt.Sprintf("%s.%d", r.name, n))
	a.Entry, a.DuringShutdown = e.Instance, c.shuttingDown(e.Instance)
	err := c.roundTrip(ctx, r, e, a)
	c.record(a)
	return a.Ran, err
}

// roundTrip sends one request, reads its answer into a, and returns an error
// unless the request was served with a valid answer.
func (c *callers) roundTrip(ctx context.Context, r *request, e lookup.Entry, a *Attempt) error {
	req, err := c.newRequest(ctx, r, e, a.ID)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			a.Ran = result.No // nothing was sent
		}
		return err
	}
	defer resp.Body.Close()
	a.recordHeader(resp.Header)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if resp.StatusCode != http.StatusOK || a.Code != result.Served && a.Code != result.Replayed {
		return eris.Errorf("status %d, code %d", resp.StatusCode, a.Code)
	}
	a.AnswerValid = err == nil && answerMatches(string(body), r, a)
	if !a.AnswerValid {
		return eris.Errorf("answer %q is incomplete or belongs to another request", body)
	}
	return nil
}

func (c *callers) newRequest(ctx context.Context, r *request, e lookup.Entry, name string) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		body = r.body()
	}
	url := fmt.Sprintf("http://%s/s/%s%s", e.Address, r.service, r.path())
	req, err := http.NewRequestWithContext(ctx, r.class.Methods[0], url, body)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		req.ContentLength = r.size
		req.GetBody = nil // the transport must not retry by itself
	}
	req.Header.Set(result.HeaderRequestID, name)
	if r.deadline > 0 {
		req.Header.Set(result.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	if r.ticket != "" {
		req.Header.Set(result.HeaderTicket, r.ticket)
	}
	return req, nil
}

// path returns the path within the service.
func (r *request) path() string { return strings.TrimSuffix(r.class.PathPrefix, "/") + "/" + r.name }

// recordHeader records the result fields of an answer's header.
func (a *Attempt) recordHeader(h http.Header) {
	if code, err := strconv.Atoi(h.Get(result.HeaderCode)); err == nil {
		a.Code = result.Code(code)
	}
	// Without the header, Ran stays result.Unknown.
	_ = a.Ran.UnmarshalText([]byte(h.Get(result.HeaderRan)))
	a.Server = id.Server(h.Get(result.HeaderServer))
	if version, err := strconv.ParseUint(h.Get(result.HeaderVersion), 10, 64); err == nil {
		a.Version = id.Version(version)
	}
}

// answerMatches reports whether the text is the complete answer of a stand-in to
// the request: the ID of the attempt, the server's name and the size of the
// request's body. The answer to an at-most-once request may be a replay, with
// the ID of another attempt of the same request.
func answerMatches(text string, r *request, a *Attempt) bool {
	var name, server string
	var size int64
	if n, err := fmt.Sscanf(text, "%s %s %d\n", &name, &server, &size); n != 3 || err != nil {
		return false
	}
	sameRequest := name == a.ID || r.class.Kind == service.Once && strings.HasPrefix(name, r.name+".")
	return sameRequest && (a.Server == "" || server == string(a.Server)) && size == r.size
}

func (c *callers) getJSON(ctx context.Context, method, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: status %d, code %s", url, resp.StatusCode, resp.Header.Get(result.HeaderCode))
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// sleep waits for a duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
