package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	defaultAttempts  = 3
	defaultTimeout   = 30 * time.Second
	lookupTimeout    = 2 * time.Second
	maxResponseBytes = 1 << 20
)

type (
	// Client calls services. Its fields must not change after the first call.
	// It is safe for concurrent use.
	Client struct {
		// Entries are the seed addresses: the caller listeners of some
		// entries, asked for a lookup after the entries of the last answer.
		Entries []netip.AddrPort
		// Attempts is the maximum number of sends of one request; 0 means 3.
		Attempts int
		// Timeout bounds requests whose context has no deadline; 0 means 30 s.
		Timeout time.Duration
		// Transport opens the connections; nil means a transport with default
		// settings, private to the client.
		Transport *http.Transport

		initOnce sync.Once
		pooled   *http.Transport // for reads; net/http may retry on a reused connection
		unpooled *http.Transport // for all other requests and the entries' own API
		mu       sync.Mutex
		services map[id.Service]*cachedAnswer
	}

	// Request is a request to a service.
	Request struct {
		// Service names the service.
		Service id.Service
		// Method is the HTTP method.
		Method string
		// Path is the path within the service, including the query; it starts
		// with a slash.
		Path string
		// Header holds additional request headers.
		Header http.Header
		// Body is the whole body; nil means no body.
		Body []byte
		// Stream is a body that can be read only once; it is used if Body is
		// nil. The request is not retried after the first read from Stream.
		Stream io.Reader
		// Length is the length of Stream in bytes; 0 means unknown.
		Length int64
		// ID identifies the request in logs; if it is empty, the entry assigns
		// one.
		ID string
	}

	// Answer is an HTTP response with the result that the entry reported. Its
	// Body must be closed; reading a truncated body returns an error.
	Answer struct {
		*http.Response
		// Code is the result code.
		Code result.Code
		// Ran reports whether the request ran.
		Ran result.Ran
		// Entry is the entry that answered.
		Entry id.Instance
	}

	// Error reports why a request has no answer from the backend server.
	Error struct {
		// Code is the entry's result code; 0 if no entry answered.
		Code result.Code
		// Ran reports whether the request ran.
		Ran result.Ran
		// RetryAfter is the delay from the Retry-After header; 0 if there was
		// none.
		RetryAfter time.Duration
		// Err is the cause; nil if the entry's code is the only information.
		Err error
	}

	// cachedAnswer is the last lookup answer for a service.
	cachedAnswer struct {
		answer  lookup.Answer
		expires time.Time
		version id.Version
	}
)

// Error formats the error with its code and whether the request ran.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("request failed (code %d, ran: %s): %v", e.Code, e.Ran, e.Err)
	}
	info, _ := e.Code.Info()
	return fmt.Sprintf("request failed (code %d, ran: %s): %s", e.Code, e.Ran, info.Meaning)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Lookup returns the entries to use for a service, from the cache while the
// last answer is valid. An answer based on an older configuration version than
// the cached one is ignored. If no entry gives a usable answer, an expired
// answer is returned. The error is an *Error with Ran set to No.
func (c *Client) Lookup(ctx context.Context, service id.Service) (*lookup.Answer, error) {
	c.initialize()
	c.mu.Lock()
	cached, now := c.services[service], time.Now()
	c.mu.Unlock()
	if cached != nil && now.Before(cached.expires) {
		return &cached.answer, nil
	}
	err := errors.New("no entry addresses are known")
	for _, addr := range c.addresses(cached) {
		var a *lookup.Answer
		if a, err = c.fetchLookup(ctx, addr, service); err == nil && c.cache(a, now) {
			return a, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if cached != nil && len(cached.answer.Entries) > 0 {
		return &cached.answer, nil // expired, but better than none
	}
	if err == nil {
		err = errors.New("all entries answered with an older configuration version than one seen before")
	}
	return nil, &Error{Ran: result.No, Err: err}
}

// addresses lists the addresses for a lookup: those of the last answer, then the
// seeds.
func (c *Client) addresses(cached *cachedAnswer) []netip.AddrPort {
	var all []netip.AddrPort
	if cached != nil {
		for i := range cached.answer.Entries {
			all = append(all, cached.answer.Entries[i].Address)
		}
	}
	return append(all, c.Entries...)
}

// cache stores an answer and reports whether it did so. An answer based on an
// older configuration version than the cached one is not stored.
func (c *Client) cache(a *lookup.Answer, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.services[a.Service]
	if cached != nil && a.Version < cached.version {
		return false
	}
	c.services[a.Service] = &cachedAnswer{answer: *a, expires: now.Add(a.Valid()), version: a.Version}
	return true
}

func (c *Client) version(service id.Service) id.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.services[service]; cached != nil {
		return cached.version
	}
	return 0
}

// invalidate marks a service's cached answer as expired.
func (c *Client) invalidate(service id.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.services[service]; cached != nil {
		next := *cached
		next.expires = time.Time{}
		c.services[service] = &next
	}
}

func (c *Client) fetchLookup(ctx context.Context, addr netip.AddrPort, service id.Service) (*lookup.Answer, error) {
	a := new(lookup.Answer)
	if err := c.callEntry(ctx, http.MethodGet, "http://"+addr.String()+"/v1/lookup/"+string(service), a); err != nil {
		return nil, err
	}
	if err := a.Check(); err != nil {
		return nil, err
	}
	if a.Service != service {
		return nil, fmt.Errorf("asked for service %q, got an answer for %q", service, a.Service)
	}
	return a, nil
}

// callEntry sends a request to the entry's own API and decodes the JSON answer.
func (c *Client) callEntry(ctx context.Context, method, url string, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.unpooled.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errorOf(resp)
	}
	return json.Unmarshal(data, dst)
}

// weightedOrder returns the entries in the order in which to try them: one
// chosen at random by weight, then the others as listed.
func weightedOrder(a *lookup.Answer) []lookup.Entry {
	sum := 0
	for i := range a.Entries {
		sum += a.Entries[i].Weight
	}
	all := append([]lookup.Entry(nil), a.Entries...)
	if sum == 0 {
		return all
	}
	n := rand.IntN(sum)
	for i := range all {
		if n -= all[i].Weight; n < 0 {
			first := all[i]
			copy(all[1:i+1], all[:i])
			all[0] = first
			break
		}
	}
	return all
}

func (c *Client) initialize() {
	c.initOnce.Do(func() {
		c.services = map[id.Service]*cachedAnswer{}
		c.pooled = c.Transport
		if c.pooled == nil {
			c.pooled = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
		}
		c.unpooled = c.pooled.Clone()
		c.unpooled.DisableKeepAlives = true
	})
}
