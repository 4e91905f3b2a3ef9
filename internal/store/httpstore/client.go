package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/internal/transfer"
)

const (
	defaultTimeout = 2 * time.Second
	defaultWait    = 30 * time.Second
	maxListBytes   = 64 << 20
	// maxTransfer limits the time from an answer's first byte to its last.
	maxTransfer = 20 * time.Second
	// writeChunk is the number of bytes of a value that have Timeout to be written.
	writeChunk = 256 << 10
)

type (
	// Client is a client of the platform's object store. It is safe for
	// concurrent use.
	Client struct {
		// Base is the store's URL without a trailing slash.
		Base string
		// HTTP makes the calls; nil means http.DefaultClient.
		HTTP *http.Client
		// Timeout limits the time to the beginning of an answer, for a watch beyond Wait and
		// for a write for each 256 KB of the value, and then the time without a further part
		// of it; 0 means 2 s.
		Timeout time.Duration
		// Wait is how long the store holds a watch without a change; 0 means
		// 30 s.
		Wait time.Duration
	}

	answer struct {
		status int
		tag    string
		body   []byte
	}
)

var _ store.Store = (*Client)(nil)

// Get returns the object under key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	a, _, err := c.call(ctx, c.timeout(), http.MethodGet, objectPath(key), nil, nil, store.MaxValue)
	if err != nil {
		return store.Object{}, unavailable(err)
	}
	return a.object(key)
}

// Put writes the value if the condition holds and returns its version.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond store.Condition) (store.Version, error) {
	a, err := c.write(ctx, http.MethodPut, key, value, cond)
	if err != nil {
		return store.Version{}, err
	}
	v, err := parseTag(a.tag)
	if err != nil {
		return store.Version{}, eris.Wrap(store.ErrAmbiguous, err.Error())
	}
	return v, nil
}

// Delete removes the object if the condition holds.
func (c *Client) Delete(ctx context.Context, key string, cond store.Condition) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, cond)
	return err
}

// List returns all objects whose key starts with prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, error) {
	path := "/objects?prefix=" + url.QueryEscape(prefix)
	a, _, err := c.call(ctx, c.timeout(), http.MethodGet, path, nil, nil, maxListBytes)
	switch {
	case err != nil:
		return nil, unavailable(err)
	case a.status != http.StatusOK:
		return nil, unavailable(a.unexpected())
	}
	var all []store.Object
	if err := json.Unmarshal(a.body, &all); err != nil {
		return nil, unavailable(err)
	}
	return all, nil
}

// Watch returns the object under key as soon as its version differs from seen,
// and ErrUnavailable when the store ends the wait without a change.
func (c *Client) Watch(ctx context.Context, key string, seen store.Version) (store.Object, error) {
	wait := c.Wait
	if wait == 0 {
		wait = defaultWait
	}
	path := fmt.Sprintf("%s?watch=%s&wait=%s", objectPath(key), seen, strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	a, _, err := c.call(ctx, wait+c.timeout(), http.MethodGet, path, nil, nil, store.MaxValue)
	if err != nil {
		return store.Object{}, unavailable(err)
	}
	return a.object(key)
}

func (c *Client) write(ctx context.Context, method, key string, value []byte, cond store.Condition) (answer, error) {
	header := http.Header{}
	switch v, set := cond.Required(); {
	case set && v.IsZero():
		header.Set("If-None-Match", "*")
	case set:
		header.Set("If-Match", strconv.Quote(v.String()))
	}
	first := c.timeout() * time.Duration(1+len(value)/writeChunk)
	a, connected, err := c.call(ctx, first, method, objectPath(key), header, value, store.MaxValue)
	switch {
	case err != nil && !connected:
		return a, unavailable(err)
	case err != nil:
		return a, eris.Wrap(store.ErrAmbiguous, err.Error())
	}
	switch a.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return a, nil
	case http.StatusPreconditionFailed:
		return a, store.ErrConflict
	case http.StatusNotFound:
		return a, store.ErrNotFound
	case http.StatusTooManyRequests:
		return a, unavailable(a.unexpected())
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return a, a.unexpected()
	default:
		return a, eris.Wrap(store.ErrAmbiguous, a.unexpected().Error())
	}
}

// call sends a request, whose answer must begin within first, and also reports, even on
// failure, whether a connection was available to send it.
func (c *Client) call(ctx context.Context, first time.Duration, method, path string, header http.Header, value []byte, limit int64) (answer, bool, error) {
	var connected atomic.Bool
	ctx, t := transfer.Begin(ctx, transfer.Limits{First: first, Stall: c.timeout(), Total: maxTransfer})
	defer t.End()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(value))
	if err != nil {
		return answer{}, false, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, connected.Load(), t.Explain(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(t.Reader(http.MaxBytesReader(nil, resp.Body, limit)))
	if err != nil {
		return answer{}, true, t.Explain(err)
	}
	return answer{status: resp.StatusCode, tag: resp.Header.Get("ETag"), body: body}, true, nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return c.Timeout
}

func (a answer) object(key string) (store.Object, error) {
	switch a.status {
	case http.StatusOK:
		v, err := parseTag(a.tag)
		if err != nil {
			return store.Object{}, unavailable(err)
		}
		return store.Object{Key: key, Version: v, Value: a.body}, nil
	case http.StatusNotFound:
		return store.Object{}, store.ErrNotFound
	default:
		return store.Object{}, unavailable(a.unexpected())
	}
}

func (a answer) unexpected() error { return eris.Errorf("store returned status %d", a.status) }

func unavailable(err error) error { return eris.Wrap(store.ErrUnavailable, err.Error()) }

func parseTag(text string) (store.Version, error) {
	v, err := store.ParseVersion(strings.Trim(text, `"`))
	if err != nil || v.IsZero() {
		return store.Version{}, eris.Errorf("ETag %q is not a version", text)
	}
	return v, nil
}

func objectPath(key string) string { return "/objects/" + (&url.URL{Path: key}).EscapedPath() }
