package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	maxBufferedBody          = 64 << 10
	maxAtMostOnceBody        = 8 << 20
	broadcastTimeout         = 300 * time.Millisecond
	cancelDelay              = 2 * time.Second
	defaultCallerIdleTimeout = 90 * time.Second
	maxConnectFailures       = 3
)

// call is the state of one request of a caller, from its arrival to its log
// line.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	started time.Time
	id      string
	table   *Table
	caller  netip.Addr

	file         *service.File
	class        *service.Class
	path         string
	deadline     time.Time
	body         *callerBody
	bufferedBody []byte
	digest       string
	fingerprint  quarantine.Fingerprint

	// The outcome, for the response and the log line.
	code     result.Code
	server   id.Server
	status   int
	bytesOut int64
	attempts int
	// connectFailures counts failed connections, which are not attempts.
	connectFailures int
	headerWritten   bool
	serverClosed    bool
	ambiguous       result.Code
	broadcasts      *sync.WaitGroup
}

// request handles a request to a service; rest is the path after ServicePath.
func (c *call) request(rest string) {
	name, path, _ := strings.Cut(rest, "/")
	c.path = "/" + path
	c.file = c.table.Services[id.Service(name)]
	if c.file == nil {
		c.writeError(result.NoService, 0)
		return
	}
	if c.class = c.file.Match(c.r.Method, c.path); c.class == nil {
		c.writeError(result.NoClass, 0)
		return
	}
	timeout, ok := requestTimeout(c.r.Header.Get(result.HeaderDeadline), c.class.Deadline.Std())
	switch {
	case !ok:
		c.writeError(result.BadRequest, 0)
		return
	case c.r.ContentLength > int64(c.class.BodyLimit):
		c.writeError(result.BodyTooLarge, 0)
		return
	case c.class.Kind != service.Once && c.h.leaving():
		c.writeError(result.EntryLeaving, 0)
		return
	}
	c.deadline = c.started.Add(timeout)
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	c.ctx, c.caller = ctx, callerAddr(c.r)
	c.body = newCallerBody(c)
	if c.class.Kind == service.Once {
		c.once()
		return
	}
	if code := c.bufferBody(maxBufferedBody); code != 0 {
		c.writeError(code, 0)
		return
	}
	c.runUnlessQuarantined(func() { c.sendWithRetries(&callerSink{call: c}) })
}

// runUnlessQuarantined runs the request unless its fingerprint is quarantined.
func (c *call) runUnlessQuarantined(run func()) {
	c.computeFingerprint()
	if c.h.Quarantine == nil {
		run()
		return
	}
	v := c.h.Quarantine.Check(time.Now(), c.fingerprint)
	if v.Refused {
		c.writeError(result.Quarantined, v.RetryAfter)
		return
	}
	if v.Probation {
		defer c.h.Quarantine.Done(c.fingerprint)
	}
	run()
}

// bufferBody reads a body of known length up to limit bytes, so that it can be
// sent again and fingerprinted by its content. It returns 0 or a result code.
func (c *call) bufferBody(limit int64) result.Code {
	n := c.r.ContentLength
	if n < 0 || n > limit || len(c.r.Trailer) > 0 {
		c.digest = c.r.Header.Get("Content-Digest")
		return 0
	}
	if n == 0 {
		return 0
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c.body, b); err != nil {
		return c.bodyErrorCode()
	}
	c.bufferedBody = b
	sum := sha256.Sum256(b)
	c.digest = hex.EncodeToString(sum[:])
	return 0
}

// bodyErrorCode returns the result code of a body that could not be read, while
// nothing has been sent.
func (c *call) bodyErrorCode() result.Code {
	switch {
	case c.body.overLimit.Load():
		return result.BodyTooLarge
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return result.DeadlinePassed
	default:
		return result.CallerLeft
	}
}

func (c *call) computeFingerprint() {
	t := quarantine.Traits{
		Service: c.file.Service, Method: c.r.Method, Path: c.path, Key: c.r.Header.Get(result.HeaderKey),
		Length: unit.Bytes(c.r.ContentLength), Digest: c.digest,
	}
	if c.r.URL.RawQuery != "" {
		t.Path += "?" + c.r.URL.RawQuery
	}
	c.fingerprint = t.Fingerprint()
}

// outgoingRequest returns the request as it is sent to a backend server:
// without the service prefix, hop-by-hop headers and the caller's Shallotpier
// headers, but with the request ID.
func (c *call) outgoingRequest() *http.Request {
	u := *c.r.URL
	prefix := ServicePath + string(c.file.Service)
	u.Path = c.path
	if u.RawPath = strings.TrimPrefix(u.EscapedPath(), prefix); c.r.URL.RawPath != "" {
		u.RawPath = orSlash(strings.TrimPrefix(c.r.URL.RawPath, prefix))
	} else {
		u.RawPath = ""
	}
	u.User, u.Fragment = nil, ""
	out := &http.Request{Method: c.r.Method, URL: &u, Host: c.r.Host, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	copyEndToEnd(out.Header, c.r.Header)
	out.Header.Del("Expect")
	if strings.Contains(strings.ToLower(c.r.Header.Get("Te")), "trailers") {
		out.Header.Set("Te", "trailers")
	}
	out.Header.Set(result.HeaderRequestID, c.id)
	switch {
	case c.bufferedBody != nil:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.bufferedBody)), int64(len(c.bufferedBody))
	case c.r.ContentLength != 0:
		out.Body, out.ContentLength, out.Trailer = c.body, c.r.ContentLength, c.body.trailer()
		if v := c.r.Header.Get("Expect"); v != "" {
			out.Header.Set("Expect", v)
		}
	}
	return out
}

func orSlash(p string) string {
	if p == "" {
		return "/"
	}
	return p
}

func (c *call) admissionRequest(tried []id.Server) *admission.Request {
	return &admission.Request{
		Service: c.file, Class: c.class, Caller: c.caller, Deadline: c.deadline, BodySize: unit.Bytes(c.r.ContentLength), Tried: tried,
	}
}

func callerAddr(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}
