package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/shallotpier/shallotpier/pkg/result"
)

const clientName = "operator"

// Client sends commands to the operators' listener of one entry. It is safe for
// concurrent use.
type Client struct {
	base    string
	token   string
	service httpc.Service
}

// NewClient returns a client of the listener at the address.
func NewClient(address netip.AddrPort, token string) *Client {
	// Without a circuit breaker, so that a command is sent even if earlier ones
	// failed.
	breaker.NoBreakerFor(clientName)
	return &Client{
		base:    "http://" + address.String(),
		token:   token,
		service: httpc.NewServiceWithClient(clientName, &http.Client{}),
	}
}

// Status returns the state of the entry.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.do(ctx, http.MethodGet, "/v1/status", nil, nil, &s)
}

// Explain returns how a request is routed, and why.
func (c *Client) Explain(ctx context.Context, q Query) (e Explanation, err error) {
	return e, c.do(ctx, http.MethodGet, "/v1/explain", q.query(), nil, &e)
}

// Drain starts draining the target.
func (c *Client) Drain(ctx context.Context, t Target) (p Progress, err error) {
	return p, c.do(ctx, http.MethodPost, "/v1/drain", nil, t, &p)
}

// Undrain ends the drain of the target, so that it gets new requests again.
func (c *Client) Undrain(ctx context.Context, t Target) (p Progress, err error) {
	return p, c.do(ctx, http.MethodPost, "/v1/undrain", nil, t, &p)
}

// Progress returns the progress of a drain.
func (c *Client) Progress(ctx context.Context, t Target) (p Progress, err error) {
	return p, c.do(ctx, http.MethodGet, "/v1/drain", t.query(), nil, &p)
}

// Quarantined lists the quarantined requests.
func (c *Client) Quarantined(ctx context.Context) (q []Quarantined, err error) {
	return q, c.do(ctx, http.MethodGet, "/v1/quarantine", nil, nil, &q)
}

// Lift ends the quarantine with the ID.
func (c *Client) Lift(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(id), nil, nil, &struct{}{})
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, send, receive any) error {
	resp, err := c.send(ctx, method, path, query, send)
	if err != nil {
		return Errorf(result.EntryUnreachable, "%s is unreachable: %s", c.base, err)
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return eris.Wrap(decoder.Decode(receive), "decode answer")
	}
	e := new(Error)
	if err := decoder.Decode(e); err != nil || e.Code == 0 {
		return Errorf(result.CommandFailed, "%s answered with status %d", c.base, resp.StatusCode)
	}
	return e
}

func (c *Client) send(ctx context.Context, method, path string, query url.Values, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	return c.service.DoRequest(req)
}
