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
	defaultAttempts = 3
	defaultTimeout  = 30 * time.Second
	lookupTimeout   = 2 * time.Second
	maxAnswer       = 1 << 20
)

type (
	// Client calls services. Its fields must not change after the first call.
	// It is safe for concurrent use.
	Client struct {
		// Entries are callers' addresses of entries, to ask when nothing else
		// is known.
		Entries []netip.AddrPort
		// Attempts is the greatest number of sends of one request; 0 is 3.
		Attempts int
		// Timeout bounds requests whose context has no deadline; 0 is 30 s.
		Timeout time.Duration
		// Transport opens connections; nil is one of the client's own.
		Transport *http.Transport

		once     sync.Once
		kept     *http.Transport
		single   *http.Transport
		mu       sync.Mutex
		services map[id.Service]*known
	}

	// Request is a request to a service.
	Request struct {
		// Service is the service.
		Service id.Service
		// Method is the HTTP method.
		Method string
		// Path is the path within the service, with its query; it starts with
		// a slash.
		Path string
		// Header is sent along.
		Header http.Header
		// Body is the whole body; nil is none.
		Body []byte
		// Stream is a body that is sent once, in place of Body. A request with
		// it is not sent again once any of it was read.
		Stream io.Reader
		// Length is the length of Stream; 0 is unknown.
		Length int64
		// ID tells the request in logs; empty lets the entry choose one.
		ID string
	}

	// Answer is an answer with what the entry said about it. Its Body must be
	// closed; a body that was not received whole ends with an error.
	Answer struct {
		*http.Response
		// Code is the numbered outcome.
		Code result.Code
		// Ran tells whether the request ran.
		Ran result.Ran
		// Entry is the entry that answered.
		Entry id.Instance
	}

	// Error says why there is no answer of the backend server.
	Error struct {
		// Code is the entry's code; 0 if no entry answered.
		Code result.Code
		// Ran tells whether the request ran.
		Ran result.Ran
		// RetryAfter is when the entry advised to come back; 0 if it did not.
		RetryAfter time.Duration
		// Err is the cause, nil if the entry's code says it all.
		Err error
	}

	// known is what is known of a service's entries.
	known struct {
		answer  lookup.Answer
		until   time.Time
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

// Lookup returns the entries to use for a service, from memory while the last
// answer is valid. An answer that rests on an older configuration than one
// seen before is passed over.
func (c *Client) Lookup(ctx context.Context, service id.Service) (*lookup.Answer, error) {
	c.setUp()
	c.mu.Lock()
	k, now := c.services[service], time.Now()
	c.mu.Unlock()
	if k != nil && now.Before(k.until) {
		return &k.answer, nil
	}
	err := errors.New("no entries are known")
	for _, addr := range c.known(k) {
		var a *lookup.Answer
		if a, err = c.ask(ctx, addr, service); err == nil && c.learn(a, now) {
			return a, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if k != nil && len(k.answer.Entries) > 0 {
		return &k.answer, nil // late, but the best that is known
	}
	if err == nil {
		err = errors.New("all entries are behind the configuration seen before")
	}
	return nil, &Error{Ran: result.No, Err: err}
}

// known lists the addresses to ask: those of the last answer, then the seeds.
func (c *Client) known(k *known) []netip.AddrPort {
	var all []netip.AddrPort
	if k != nil {
		for i := range k.answer.Entries {
			all = append(all, k.answer.Entries[i].Address)
		}
	}
	return append(all, c.Entries...)
}

// learn keeps an answer unless it rests on an older configuration.
func (c *Client) learn(a *lookup.Answer, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.services[a.Service]
	if k != nil && a.Version < k.version {
		return false
	}
	c.services[a.Service] = &known{answer: *a, until: now.Add(a.Valid()), version: a.Version}
	return true
}

func (c *Client) version(service id.Service) id.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.services[service]; k != nil {
		return k.version
	}
	return 0
}

// forget ends the validity of what is known of a service.
func (c *Client) forget(service id.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.services[service]; k != nil {
		next := *k
		next.until = time.Time{}
		c.services[service] = &next
	}
}

func (c *Client) ask(ctx context.Context, addr netip.AddrPort, service id.Service) (*lookup.Answer, error) {
	a := new(lookup.Answer)
	if err := c.call(ctx, http.MethodGet, "http://"+addr.String()+"/v1/lookup/"+string(service), a); err != nil {
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

// call asks the entry itself and decodes its answer.
func (c *Client) call(ctx context.Context, method, url string, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.single.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	return json.Unmarshal(data, dst)
}

// order returns the entries in the order in which to try them: one chosen by
// weight, then the others as listed.
func order(a *lookup.Answer) []lookup.Entry {
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

func (c *Client) setUp() {
	c.once.Do(func() {
		c.services = map[id.Service]*known{}
		c.kept = c.Transport
		if c.kept == nil {
			c.kept = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
		}
		c.single = c.kept.Clone()
		c.single.DisableKeepAlives = true
	})
}
