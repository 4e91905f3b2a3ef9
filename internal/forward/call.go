package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/admitorder"
	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/health"
	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/internal/pipeline"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// defaultDeadline applies to requests without a deadline on routes without a
	// timeout.
	defaultDeadline = 30 * time.Second
	// maxDeadline is the longest time for which a request is kept, whatever its deadline.
	maxDeadline = time.Hour
	// maxBufferedBody is the longest request body that is buffered before the
	// request is sent, so that it can be retried if it did not run.
	maxBufferedBody = 512 << 10
	// maxBufferedAnswer is the longest answer that is buffered before it is
	// forwarded, so that a request whose answer is truncated can be retried.
	maxBufferedAnswer = 256 << 10
	// maxLogAttrs is the greatest number of attributes of a request's log line.
	maxLogAttrs = 45
	// maxLoggedDeadline is how much of a malformed deadline is logged, in characters.
	maxLoggedDeadline = 40
	// maxConnectFailures is how many servers may fail to accept a connection
	// before a request is refused.
	maxConnectFailures = 3
	// leavingRetryDelay is the mean Retry-After of an entry that is shutting down. Other
	// entries can serve the request at once; the delay spreads the retries.
	leavingRetryDelay = 50 * time.Millisecond
)

type (
	// call is the state of one request from its arrival to its log line.
	call struct {
		h        *Handler
		w        http.ResponseWriter
		r        *http.Request
		ctx      context.Context
		sendCtx  context.Context
		start    time.Time
		deadline time.Time
		id       string

		config  *Config
		caller  caller
		route   *route.Route
		service id.Service
		body    []byte
		stream  *streamedBody
		length  int64

		// origin is set if another entry has passed the request on, passedOn if this
		// entry has tried to.
		origin     *relayOrigin
		passedOn   bool
		mayHaveRun bool // a send failed of which it isn't known whether it ran
		// connectTook is how long the last connection that failed took.
		connectTook time.Duration

		// The outcome, for the answer and the log line.
		code         result.Code
		status       int
		relay        id.Instance // the entry that has answered instead
		server       id.Server
		sentAt       time.Time // the latest send to a server
		sends        int
		unconnected  int
		tried        []id.Server
		retryGranted bool          // the retry budget was charged for the next send
		retryDelay   time.Duration // Retry-After of a quarantined request or one without quota, 0 for any other one
		quota        charge
		fingerprints *fingerprints // once computed
		suspected    bool          // the fingerprints were looked up in a list that isn't empty
		crashes      int           // crash reports of the caller's fingerprint at that time
		// sharedCrashes is the number of those of the fingerprint for any caller.
		sharedCrashes int
		crashChecked  chan struct{} // closed after the check of the last server that broke off
		key           uint64
		choice        dispatch.Choice
		ordered       ordered
		busy          float64
		slots         int
		// pace is the expected pace of the server's machine and paceAge the age of its last
		// report; 0 if the servers don't report it.
		pace    float64
		paceAge time.Duration
		timing  timing
	}

	// fingerprints identify a request in the quarantine list.
	fingerprints struct {
		own    quarantine.Fingerprint // of requests of the same caller
		shared quarantine.Fingerprint // of requests of any caller
	}

	// reply is an answer with the buffered start of its body.
	reply struct {
		*upstream.Answer
		member   *roster.Member // nil if another entry has answered
		buffered []byte
		complete bool
	}
)

// readBody buffers up to maxBufferedBody bytes of the body; the rest of a longer
// body is streamed. It returns 0 or the code of the refusal.
func (c *call) readBody() result.Code {
	limit := c.config.MaxBody
	if limit > 0 && c.r.ContentLength > limit {
		return result.BodyTooLarge
	}
	if c.r.ContentLength == 0 {
		return 0
	}
	if limit > 0 {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	size := min(max(c.r.ContentLength, 0), maxBufferedBody)
	buf := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	n, err := io.Copy(buf, io.LimitReader(c.r.Body, maxBufferedBody+1))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.BodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.DeadlinePassed
	case err != nil:
		return result.CallerLeft
	}
	c.body, c.length = buf.Bytes(), n
	if n > maxBufferedBody {
		c.stream = &streamedBody{Reader: io.MultiReader(bytes.NewReader(c.body), c.r.Body)}
		c.length = c.r.ContentLength
	}
	return 0
}

func (c *call) idempotent() bool { return c.route.Kind == service.Read }

func (c *call) pickService() id.Service {
	if c.origin != nil && slices.ContainsFunc(c.route.Parts, func(p route.Part) bool { return p.Service == c.origin.service }) {
		return c.origin.service
	}
	if len(c.route.Parts) == 1 {
		return c.route.Parts[0].Service
	}
	return c.route.Pick(rand.Uint64())
}

// objectKey returns the hash key of the request's object. Without session
// affinity it is derived from the request id, which spreads requests evenly.
func (c *call) objectKey() uint64 {
	if c.route.Affinity {
		if cookie, err := c.r.Cookie(c.h.Headers.Object); err == nil {
			return owner.Key(c.service, cookie.Value)
		}
	}
	return xxhash.Sum64String(c.id)
}

// namesObject reports whether the request names its object.
func (c *call) namesObject() bool {
	if !c.route.Affinity {
		return false
	}
	_, err := c.r.Cookie(c.h.Headers.Object)
	return err == nil
}

// forward sends the request, with retries, until it has a final outcome.
func (c *call) forward() {
	c.key = c.objectKey()
	req := c.dispatchRequest()
	req.Key, req.Draw, req.Recurring = c.key, rand.Float64(), c.namesObject()
	// failed is the code of the last failed send.
	var failed result.Code
	for {
		if code, done := c.expired(); done {
			c.refuse(code)
			return
		}
		if code := c.charged(); code != 0 {
			if c.mayHaveRun {
				code, c.retryDelay = failed, 0
			}
			c.refuse(code)
			return
		}
		// Last, as the request may have waited for its quota.
		if code := c.admitAgain(); code != 0 {
			c.refuseUnsent(code, failed)
			return
		}
		if c.linksLost() && c.passOn() {
			return
		}
		req.Tried, req.Left, req.Organisation = c.tried, time.Until(c.deadline), c.caller.organisation
		m := c.choose(req)
		if m == nil {
			if c.mayHelp(c.choice.Reason) && c.passOn() {
				return
			}
			if failed == 0 {
				failed = noServerCode(c.choice.Reason)
			}
			c.refuse(failed)
			return
		}
		c.noteLoad(time.Now(), m)
		rep, code := c.send(m)
		if code == 0 {
			c.writeAnswer(rep)
			return
		}
		code = c.stream.failureCode(code)
		failed = code
		if c.endAfter(code) {
			return
		}
	}
}

// noteLoad notes what the choice of a server was based on, for the log line.
func (c *call) noteLoad(now time.Time, m *roster.Member) {
	c.busy, c.slots = m.EstimatedRequests(now), m.Slots
	if m.ReportsPace(now) {
		c.pace = m.Pace(now)
		c.paceAge, _ = m.PaceAge(now)
	}
}

// choose returns the server that the request is sent to, nil if none may get it now.
func (c *call) choose(req *dispatch.Request) *roster.Member {
	c.order(req)
	c.choice = c.h.Dispatcher.Choose(time.Now(), req)
	c.observeOrder()
	if c.choice.Limited != nil {
		c.h.Metrics.GetOrCreateCounter(`shallotpier_limited_total`).Inc()
	}
	return c.choice.Server
}

// endAfter ends the request after a send that failed with code, unless it is to be sent
// again, and reports whether it has.
func (c *call) endAfter(code result.Code) bool {
	c.mayHaveRun = c.mayHaveRun || code.Ran() != result.No
	retry := c.retryGranted || c.mayRetry(code)
	if code == result.ConnectFailed && (!retry || c.lastConnection()) && c.passOn() {
		return true
	}
	if !retry {
		c.refuse(code)
		return true
	}
	c.retryGranted = false
	if c.quarantinedMeanwhile() {
		if c.sends == 0 {
			code = result.Quarantined
		}
		c.refuse(code)
		return true
	}
	return false
}

// linksLost reports whether the entry has lost its links to nearly all servers of the
// service, and may still pass the request on.
func (c *call) linksLost() bool {
	return c.h.Relays != nil && c.origin == nil && !c.passedOn && c.h.Relays.LinksLost(c.service)
}

// mayHelp reports whether another entry may find a server where this one has found none.
func (c *call) mayHelp(reason dispatch.Reason) bool {
	return reason == dispatch.NoServer || c.h.Relays != nil && c.h.Relays.MissesMost(c.service)
}

// lastConnection reports whether a connection has hung and too little time is left for
// another one that hangs and a send after it.
func (c *call) lastConnection() bool {
	return c.connectTook >= c.h.Upstream.ConnectTimeout && time.Until(c.deadline) < 2*c.h.Upstream.ConnectTimeout
}

// noServerCode returns the result code of a request for which no server was chosen.
func noServerCode(reason dispatch.Reason) result.Code {
	switch reason {
	case dispatch.Full:
		return result.NoCapacity
	case dispatch.Limited:
		return result.ServersLimited
	default:
		return result.NoServer
	}
}

// expired reports whether the deadline has passed or the caller has disconnected,
// and the code to refuse the request with.
func (c *call) expired() (result.Code, bool) {
	switch err := c.ctx.Err(); {
	case err == nil:
		return 0, false
	case errors.Is(err, context.DeadlineExceeded):
		return result.DeadlinePassed, true
	default:
		return result.CallerLeft, true
	}
}

// mayRetry reports whether the request may be retried after a send that failed
// with code. It charges the retry budget, except for a failed connection, which is
// bounded by maxConnectFailures.
func (c *call) mayRetry(code result.Code) bool {
	if code == result.ConnectFailed {
		c.unconnected++
		return c.stream == nil && c.unconnected < maxConnectFailures
	}
	if c.stream != nil || c.sends >= max(c.route.Attempts, 1) || code.Ran() != result.No && !c.idempotent() {
		return false
	}
	if code == result.AnswerLate || code == result.CallerGone {
		return false
	}
	limits := c.h.RetryLimits()
	if !c.h.budget(c.service).TakeWithin(time.Now(), limits.Share, limits.Allowance) {
		c.h.Metrics.GetOrCreateCounter(`shallotpier_resends_denied_total`).Inc()
		return false
	}
	return true
}

// send sends the request to a server. It returns the reply, or the code of the
// failure.
func (c *call) send(m *roster.Member) (*reply, result.Code) {
	start := time.Now()
	c.server, c.sentAt, c.tried = m.Name, start, append(c.tried, m.Name)
	c.timing.sending(start, m)
	ans, err := c.h.Upstream.Send(c.sendCtx, &upstream.Request{
		Server: m.Name, Address: m.Address, HTTP: c.outgoingTo(m), ID: c.id, Idempotent: c.idempotent(), BodyKept: c.stream == nil,
		Interim: func(header http.Header) { c.observeLeaving(m, header) }, Undelivered: c.h.undelivered(c.id, string(m.Name)),
	})
	if err != nil {
		return nil, c.recordSendError(m, start, asSendError(err))
	}
	if c.sends++; c.sends == 1 {
		c.h.budget(c.service).CountFirst(time.Now())
	}
	c.timing.connect = ans.Connect
	c.observe(m, ans)
	rep := &reply{Answer: ans, member: m}
	if code := c.check(rep); code != 0 {
		ans.Close()
		m.End(time.Now(), c.outcome(rep, code))
		return nil, code
	}
	return rep, 0
}

// recordSendError records a send, started at the given time, that returned no
// answer. It returns the code of the failure.
func (c *call) recordSendError(m *roster.Member, start time.Time, failed *upstream.SendError) result.Code {
	if failed.Sent {
		if c.sends++; c.sends == 1 {
			c.h.budget(c.service).CountFirst(time.Now())
		}
	}
	if failed.Code == result.ConnectFailed {
		c.connectTook = time.Since(start)
	}
	o := roster.Outcome{Event: health.EventOf(failed.Code), Failed: true}
	if failed.Code == result.AnswerLate {
		o.Latency = time.Since(start)
	}
	m.End(time.Now(), o)
	switch failed.Code {
	case result.AnswerCut:
		c.detectCrash(m)
	case result.AnswerLate, result.CallerGone, result.ConnectionSilent:
		c.h.watch(m, c.suspect(m))
	}
	c.h.Log.Info("send failed", "request", c.id, "server", m.Name, "code", failed.Code, "sent", failed.Sent, "err", failed.Err)
	return failed.Code
}

// undelivered returns what to do if an accepted body isn't delivered to a server, or to an
// entry.
func (h *Handler) undelivered(request, to string) func(error) {
	return func(err error) {
		h.Metrics.GetOrCreateCounter(`shallotpier_bodies_undelivered_total`).Inc()
		h.Log.Warn("body not delivered after its answer", "request", request, "to", to, "err", err)
	}
}

func asSendError(err error) *upstream.SendError {
	var failed *upstream.SendError
	if errors.As(err, &failed) {
		return failed
	}
	return &upstream.SendError{Code: result.AnswerCut, Sent: true, Err: err}
}

// check buffers the answer and decides whether it may be forwarded. It returns 0,
// or the code of the failure.
func (c *call) check(rep *reply) result.Code {
	signed := rep.Header.Get(c.h.Headers.Signature) != ""
	notRun := rep.Header.Get(c.h.Headers.NotRun) != ""
	if rep.Status >= http.StatusInternalServerError && !notRun {
		c.watchFailed(rep.member)
	}
	switch status := rep.Status; {
	case !rep.Certain && (notRun || impliesNotRun(status)):
		// It may be a refusal of an earlier request, written once more.
		return result.AnswerCut
	case status == http.StatusMisdirectedRequest:
		c.h.Log.Warn("another server has the address", "request", c.id, "server", rep.member.Name, "address", rep.member.Address)
		return result.ShedByServer
	case notRun && status != http.StatusBadRequest:
		return result.ShedByServer
	case status < http.StatusMultipleChoices && (!signed || rep.Header.Get("Content-Encoding") != ""):
		return result.AnswerCut
	case status < http.StatusInternalServerError && !signed && !notRun && !impliesNotRun(status):
		// It isn't the server's, and callers would take it for final.
		c.h.Log.Warn("answer without a signature", "request", c.id, "server", rep.member.Name, "address", rep.member.Address, "status", status)
		return result.AnswerCut
	case impliesNotRun(status):
		// The status suggests that the request did not run, but the server has not
		// confirmed it by the not-run header.
		return result.AnswerCut
	case status >= http.StatusInternalServerError && c.idempotent() && c.sends < c.route.Attempts:
		// The server's error is forwarded unless the request may be retried.
		if c.retryGranted = c.mayRetry(result.AnswerCut); c.retryGranted {
			return result.AnswerCut
		}
	}
	return c.buffer(rep)
}

// buffer reads the start of an answer, so that one that breaks off there isn't forwarded.
// It returns 0, or the code of the failure.
func (c *call) buffer(rep *reply) result.Code {
	if rep.Length > maxBufferedAnswer {
		return 0
	}
	buffered, err := io.ReadAll(io.LimitReader(rep.Body, maxBufferedAnswer+1))
	if err != nil {
		return c.brokenOff(rep, asSendError(err).Code)
	}
	rep.buffered, rep.complete = buffered, len(buffered) <= maxBufferedAnswer
	return 0
}

// brokenOff records an answer that broke off with a code, and returns the code.
func (c *call) brokenOff(rep *reply, code result.Code) result.Code {
	if code == result.AnswerCut && rep.member != nil {
		c.detectCrash(rep.member)
	}
	return code
}

// impliesNotRun reports whether callers would conclude from a status that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// outgoingTo returns the request to send to a server.
func (c *call) outgoingTo(m *roster.Member) *http.Request {
	out := c.outgoing()
	c.setIdentity(out.Header)
	out.Header.Set(c.h.Headers.Expect, string(m.Name))
	return out
}

// outgoing returns the request to send on.
func (c *call) outgoing() *http.Request {
	out := &http.Request{
		Method: c.r.Method, URL: target(c.r), Host: c.r.Host, Header: make(http.Header, len(c.r.Header)+2),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	copyEndToEnd(out.Header, c.r.Header)
	out.Header.Del("Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "") // keeps net/http from adding its default
	}
	left := max(time.Until(c.deadline).Milliseconds(), 1)
	out.Header.Set(c.h.Headers.Deadline, strconv.FormatInt(left, 10))
	switch {
	case c.stream != nil:
		out.Body, out.ContentLength = io.NopCloser(c.stream), c.length
	case c.length > 0:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(c.body)), c.length
	case c.r.ContentLength < 0 || c.r.Method != http.MethodGet && c.r.Method != http.MethodHead:
		out.Body = http.NoBody
	}
	return out
}

// writeAnswer forwards the server's answer to the caller.
func (c *call) writeAnswer(rep *reply) {
	defer rep.Close()
	c.code, c.status = result.Served, rep.Status
	if rep.member == nil {
		c.code = relayedCode(rep.Header)
	}
	success := rep.Status < http.StatusMultipleChoices
	if success && rep.complete {
		c.clearCrashes()
	}
	c.writeHeader(rep)
	if _, err := c.w.Write(rep.buffered); err != nil {
		c.code = result.CallerGone
	}
	truncated := false
	if !rep.complete {
		if _, err := io.Copy(c.w, rep.Body); err != nil {
			c.code, truncated = c.brokenOff(rep, copyErrorCode(err)), true
		} else if success {
			c.clearCrashes()
		}
	}
	if rep.member != nil {
		rep.member.End(time.Now(), c.outcome(rep, c.code))
	}
	if c.stream != nil && !truncated {
		// Closing the server's answer may take long.
		_ = http.NewResponseController(c.w).Flush()
	}
	if truncated {
		// The caller's connection is aborted, so that the answer doesn't look complete.
		panic(http.ErrAbortHandler)
	}
}

// writeHeader forwards the status and header of the server's answer.
func (c *call) writeHeader(rep *reply) {
	header := c.w.Header()
	copyEndToEnd(header, rep.Header)
	if c.origin != nil && rep.member != nil {
		header.Set(relayServer, string(rep.member.Name))
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // disables content sniffing by net/http
	}
	if rep.complete && rep.Status != http.StatusNoContent && rep.Status != http.StatusNotModified {
		if c.r.Method != http.MethodHead {
			header.Set("Content-Length", strconv.Itoa(len(rep.buffered)))
		}
	} else if !rep.complete && rep.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(rep.Length, 10))
	}
	if !rep.complete {
		// The server's connection is in use until the caller has read the answer.
		_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline)
	}
	c.w.WriteHeader(rep.Status)
}

// copyErrorCode returns the code of an answer that was truncated while it was
// copied to the caller: that of the server's failure, or CallerGone.
func copyErrorCode(err error) result.Code {
	var failed *upstream.SendError
	if errors.As(err, &failed) {
		return failed.Code
	}
	return result.CallerGone
}

// outcome returns what an answer contributes to the health state of its server.
func (c *call) outcome(rep *reply, code result.Code) roster.Outcome {
	o := roster.Outcome{Event: health.EventOf(code), Load: c.h.Load(rep.Header)}
	c.timing.observe(o.Load)
	if code == result.Served {
		o.Latency = rep.Latency
	}
	switch code {
	case result.ShedByServer:
		// Shedding is not a health failure; outlier detection compares the rate of
		// refusals between servers.
		o.Event, o.Failed = health.Answered, true
		if rep.Status == http.StatusMisdirectedRequest {
			// A different server has this address.
			o.Event, o.Reached = health.ConnectFailed, true
		}
	case result.AnswerCut:
		if rep.Status >= http.StatusInternalServerError {
			// An error response is not a health failure; outlier detection compares
			// the error rate between servers.
			o.Event, o.Failed = health.Answered, true
		}
	case result.Served:
		o.Failed = rep.Status >= http.StatusInternalServerError
		o.LatencyRatio = c.h.baseline(c.service, c.route.Kind).Compare(rep.Latency)
	}
	return o
}

// refuse answers the request on behalf of the entry itself, with the status and
// headers for code.
func (c *call) refuse(code result.Code) {
	c.code, c.status = code, c.refusalStatus(code)
	header := c.w.Header()
	header.Set(result.HeaderCode, code.String())
	if c.id != "" {
		header.Set(c.h.Headers.RequestID, c.id) // without it another entry drops the connection
	}
	header.Set("Content-Length", "0")
	switch c.status {
	case http.StatusUnauthorized:
		header.Set("WWW-Authenticate", "Bearer")
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		after := c.retryAfter()
		c.noteRefusal(after)
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	c.w.WriteHeader(c.status)
}

// refusalStatus returns the HTTP status for an answer of the entry itself. 503 is
// returned only for requests that did not run.
func (c *call) refusalStatus(code result.Code) int {
	switch code {
	case result.NoService:
		return http.StatusNotFound
	case result.BadRequest:
		return http.StatusBadRequest
	case result.BodyTooLarge, result.BodyOverLimit:
		return http.StatusRequestEntityTooLarge
	case result.AnswerLate:
		return http.StatusGatewayTimeout
	case result.KeyUnknown:
		return http.StatusUnauthorized
	case result.RegionNotAllowed:
		return http.StatusForbidden
	case result.QuotaExceeded:
		return http.StatusTooManyRequests
	}
	if code.Ran() == result.No {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// retryAfter returns the Retry-After time of a refusal.
func (c *call) retryAfter() time.Duration {
	switch {
	case c.retryDelay != 0:
		return c.retryDelay
	case c.code == result.EntryLeaving:
		return leavingRetryDelay/2 + rand.N(leavingRetryDelay)
	case c.deadline.IsZero():
		return time.Second
	default:
		return c.retryWithinDeadline()
	}
}

// retryWithinDeadline returns a Retry-After time with jitter, between 1/8 and 1/4 of the
// time left, so that the retries of refused callers are distributed over time and come
// before their deadline. If a server's limit allows a request only later than that, it is
// longer, up to 1/3 of the time left: callers don't wait for longer than that. It is also longer
// for requests that are refused first while not all can be served.
func (c *call) retryWithinDeadline() time.Duration {
	left := max(time.Until(c.deadline), 0)
	earliest := left / 8
	if !c.choice.Next.IsZero() {
		earliest = min(max(earliest, time.Until(c.choice.Next)), left/5)
	}
	if c.refusedInOrder() {
		earliest += admitorder.RetryLater(left, c.ordered.place.At)
	}
	return earliest + time.Duration(rand.Float64()*float64(left/8))
}

// finish writes the request's log line and updates the metrics, once.
func (c *call) finish() {
	if c.code == 0 {
		return
	}
	c.uncharge()
	took := time.Since(c.start)
	c.h.observe(c, took)
	c.countOrder()
	attrs := make([]slog.Attr, 0, maxLogAttrs)
	attrs = append(attrs, slog.String("request", c.id), slog.Int("code", int(c.code)), slog.Int("status", c.status))
	if c.config != nil {
		attrs = append(attrs, slog.Uint64("version", uint64(c.config.Version)))
	}
	if c.route != nil {
		attrs = append(attrs, slog.String("route", c.route.Name), slog.String("kind", string(c.route.Kind)),
			slog.Duration("objective", c.route.Objective), slog.Duration("left", time.Until(c.deadline)))
	}
	attrs = c.logOrder(c.caller.logAttrs(attrs))
	if c.suspected {
		attrs = append(attrs, slog.String("fingerprint", c.fingerprint().String()), slog.Int("crashes", c.crashes),
			slog.String("shared", c.sharedFingerprint().String()), slog.Int("sharedCrashes", c.sharedCrashes),
			slog.String("target", strconv.FormatUint(c.targetKey(), 16)), slog.String("caller", c.callerAddress()))
	}
	if c.code == result.NoService || c.code == result.BadRequest {
		attrs = append(attrs, slog.String("target", strconv.FormatUint(c.targetKey(), 16)), slog.String("deadline", fmt.Sprintf("%.*s", maxLoggedDeadline, c.r.Header.Get(c.h.Headers.Deadline))))
	}
	if owner := c.choice.Owner; owner != nil {
		attrs = append(attrs, slog.String("owner", string(owner.Name)), slog.Float64("ownerBusy", math.Round(10*c.choice.OwnerRequests)/10))
	}
	if limited := c.choice.Limited; limited != nil {
		attrs = append(attrs, slog.String("limited", string(limited.Name)))
	}
	if ahead := pipeline.Ahead(c.r.Context()); ahead > 0 {
		attrs = append(attrs, slog.Int("ahead", ahead))
	}
	if c.origin != nil || c.relay != "" {
		attrs = append(attrs, slog.Bool("relayed", c.origin != nil), slog.String("relay", string(c.relay)))
	}
	if c.quota.organisation != "" {
		attrs = append(attrs, slog.Duration("quotaWait", c.quota.waited))
	}
	if c.choice.Reason != "" {
		attrs = append(attrs, slog.String("service", string(c.service)), slog.String("object", strconv.FormatUint(c.key, 16)),
			slog.String("choice", string(c.choice.Reason)), slog.String("server", string(c.server)),
			slog.Float64("busy", math.Round(10*c.busy)/10), slog.Int("slots", c.slots),
			slog.Int("sends", c.sends), slog.Int("unconnected", c.unconnected), slog.Duration("storeAge", c.h.StoreAge()))
	}
	if c.pace > 0 {
		attrs = append(attrs, slog.Float64("expectedPace", math.Round(100*c.pace)/100), slog.Duration("paceAge", c.paceAge))
	}
	attrs = c.timing.logAttrs(attrs, c.start, c.h.Location)
	c.h.Log.LogAttrs(c.r.Context(), slog.LevelInfo, "request", append(attrs, slog.Duration("took", took))...)
	c.code = 0
}
