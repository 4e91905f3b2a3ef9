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
	smallBody      = 64 << 10
	maxOnceBody    = 8 << 20
	spreadTime     = 300 * time.Millisecond
	cancelTime     = 2 * time.Second
	callerSilent   = 90 * time.Second
	maxUnconnected = 3
)

// call is one request of a caller, from its arrival to its log line.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	started time.Time
	id      string
	table   *Table
	caller  netip.Addr

	file     *service.File
	class    *service.Class
	path     string
	deadline time.Time
	body     *callerBody
	small    []byte
	digest   string
	print    quarantine.Fingerprint

	// What became of it, for the answer and the log line.
	code     result.Code
	server   id.Server
	status   int
	out      int64
	attempts int
	// unconnected counts failed connections that are not among attempts.
	unconnected int
	headed      bool
	broken      bool
	doubt       result.Code
	spreads     *sync.WaitGroup
}

// request handles a request to a service; rest is the path after ServicePath.
func (c *call) request(rest string) {
	name, path, _ := strings.Cut(rest, "/")
	c.path = "/" + path
	c.file = c.table.Services[id.Service(name)]
	if c.file == nil {
		c.refuse(result.NoService, 0)
		return
	}
	if c.class = c.file.Match(c.r.Method, c.path); c.class == nil {
		c.refuse(result.NoClass, 0)
		return
	}
	left, ok := timeLeft(c.r.Header.Get(result.HeaderDeadline), c.class.Deadline.Std())
	switch {
	case !ok:
		c.refuse(result.BadRequest, 0)
		return
	case c.r.ContentLength > int64(c.class.BodyLimit):
		c.refuse(result.BodyTooLarge, 0)
		return
	case c.class.Kind != service.Once && c.h.leaving():
		c.refuse(result.EntryLeaving, 0)
		return
	}
	c.deadline = c.started.Add(left)
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	c.ctx, c.caller = ctx, callerAddr(c.r)
	c.body = newCallerBody(c)
	if c.class.Kind == service.Once {
		c.once()
		return
	}
	if code := c.readSmall(smallBody); code != 0 {
		c.refuse(code, 0)
		return
	}
	c.checked(func() { c.carry(&directAnswer{call: c}) })
}

// checked runs the request unless its fingerprint is kept away.
func (c *call) checked(run func()) {
	c.fingerprint()
	if c.h.Quarantine == nil {
		run()
		return
	}
	v := c.h.Quarantine.Check(time.Now(), c.print)
	if v.Refused {
		c.refuse(result.Quarantined, v.RetryAfter)
		return
	}
	if v.Probation {
		defer c.h.Quarantine.Done(c.print)
	}
	run()
}

// readSmall reads an announced body of at most limit bytes, so that it can be
// sent again and fingerprinted by its content. It returns 0 or a result code.
func (c *call) readSmall(limit int64) result.Code {
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
		return c.bodyCode()
	}
	c.small = b
	sum := sha256.Sum256(b)
	c.digest = hex.EncodeToString(sum[:])
	return 0
}

// bodyCode tells why a body could not be read before anything was sent.
func (c *call) bodyCode() result.Code {
	switch {
	case c.body.over.Load():
		return result.BodyTooLarge
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return result.DeadlinePassed
	default:
		return result.CallerLeft
	}
}

func (c *call) fingerprint() {
	t := quarantine.Traits{
		Service: c.file.Service, Method: c.r.Method, Path: c.path, Key: c.r.Header.Get(result.HeaderKey),
		Length: unit.Bytes(c.r.ContentLength), Digest: c.digest,
	}
	if c.r.URL.RawQuery != "" {
		t.Path += "?" + c.r.URL.RawQuery
	}
	c.print = t.Fingerprint()
}

// outgoing returns the request as it is sent to a backend server.
func (c *call) outgoing() *http.Request {
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
	passOn(out.Header, c.r.Header)
	out.Header.Del("Expect")
	if strings.Contains(strings.ToLower(c.r.Header.Get("Te")), "trailers") {
		out.Header.Set("Te", "trailers")
	}
	out.Header.Set(result.HeaderRequestID, c.id)
	switch {
	case c.small != nil:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.small)), int64(len(c.small))
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

func (c *call) admission(tried []id.Server) *admission.Request {
	return &admission.Request{
		Service: c.file, Class: c.class, Caller: c.caller, Deadline: c.deadline, Body: unit.Bytes(c.r.ContentLength), Tried: tried,
	}
}

func callerAddr(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}
