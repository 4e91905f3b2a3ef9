package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

var errEnded = errors.New("connection ended after an earlier answer")

type (
	// conn is a caller's connection.
	conn struct {
		raw      net.Conn
		listener *Listener
		main     lane

		mu sync.Mutex
		// changed is signalled when anything has changed that a lane or the pump waits
		// for. It is set once the connection is split.
		changed *sync.Cond
		framer  framer
		// head holds the latest head, while the connection isn't split.
		head []byte
		// last is set once no further request may be handled.
		last bool
		// bounded is set once no request may be handled that begins at the offset bound
		// or later.
		bounded bool
		bound   int64

		// What follows is used once the connection is split.

		// split is set once requests are sent ahead.
		split bool
		lanes []*lane
		// waiting holds bytes that have been read and belong to no lane yet.
		waiting []byte
		// arrivals tells when the waiting bytes have arrived, as of their last ones.
		arrivals []arrival
		arrived  int64 // bytes that have arrived
		// handled holds the requests that are handled, in their order.
		handled []*exchange
		held    int // bytes of answers that wait
		// writing is set while bytes are written to raw.
		writing bool
		// pumping is set while the pump runs.
		pumping bool
		// ended is set after the last answer.
		ended bool
		// left is set once the caller has closed its side of the connection.
		left bool
		// err is the error of the caller's connection.
		err error
		// active is set while any request is handled, reported is what State was told.
		active, reported bool
		// closed is set once State was told that the connection is closed.
		closed bool

		reporting sync.Mutex // held while State is called
	}

	// arrival is the time at which the bytes up to an offset have arrived.
	arrival struct {
		end int64
		at  time.Time
	}

	// exchange is a request that is handled, with its answer.
	exchange struct {
		lane *lane
		// head is the request's head until it is known whether the request is exclusive.
		head []byte
		// exclusive is set if no other request may be handled at the same time.
		exclusive bool
		// held is the part of the answer that waits for the answers before it.
		held []byte
		// done is set once all of the answer has been written or held.
		done bool
		// closes is set if the answer closes the connection.
		closes bool
	}
)

func newConn(l *Listener, raw net.Conn) *lane {
	c := &conn{raw: raw, listener: l}
	c.main.conn, c.main.idle = c, true
	return &c.main
}

// readThrough reads for the only lane of a connection that isn't split. It splits the
// connection once it reads bytes of a further request, and returns split if it read nothing
// else.
func (c *conn) readThrough(p []byte) (n int, split bool, err error) {
	if c.framer.part == atEnd {
		// The request is being handled; net/http waits for the caller to disconnect.
		var next [1]byte
		n, err = c.raw.Read(next[:])
		if n == 0 {
			return 0, false, err
		}
		c.splitUp(next[:])
		return 0, true, nil
	}
	if c.framer.part == inHead && len(c.head) == 0 {
		n, err = c.readHeadStart(p)
	} else {
		n, err = c.raw.Read(p)
	}
	if n == 0 || c.framer.part == opaque {
		return n, false, err
	}
	used := c.frame(p[:n])
	if used < n {
		// All of the request has been read: it ends within p.
		c.splitUp(p[used:n])
	}
	return used, false, err
}

// readHeadStart reads the start of a head without the empty lines before it, which callers may
// send (RFC 9112, section 2.2) and net/http answers with 400 unless a POST came before.
func (c *conn) readHeadStart(p []byte) (int, error) {
	n := 0
	for {
		more, err := c.raw.Read(p[n:])
		b := p[:n+more]
		for bytes.HasPrefix(b, []byte(crlf)) {
			b = b[len(crlf):]
		}
		n = copy(p, b)
		partial := n == 1 && p[0] == '\r' && len(p) > 1 // of an empty line
		if err != nil || n > 0 && !partial {
			return n, err
		}
	}
}

// frame returns how many of the bytes belong to the current request.
func (c *conn) frame(b []byte) int {
	if c.framer.part != inHead {
		return c.framer.body(b)
	}
	before := len(c.head)
	c.head = append(c.head, b...)
	from := max(before-len(headEnd)+1, 0)
	end := bytes.Index(c.head[from:], []byte(headEnd))
	if end < 0 {
		if len(c.head) > maxWaiting || hasBareLineFeed(c.head[from:]) {
			c.framer.part, c.head = opaque, nil
		}
		return len(b)
	}
	end += from + len(headEnd)
	f, regular := parseHead(c.head[:end])
	if !regular {
		c.framer.part, c.head = opaque, nil
		return len(b)
	}
	c.head = c.head[:end]
	c.framer.begin(f)
	used := end - before
	return used + c.framer.body(b[used:])
}

// splitUp begins to distribute the connection's requests over lanes. The current request
// has been read by the only lane so far; rest follows it.
func (c *conn) splitUp(rest []byte) {
	c.mu.Lock()
	defer c.unlock()
	c.split, c.changed = true, sync.NewCond(&c.mu)
	c.active, c.reported = true, false
	c.lanes = []*lane{&c.main}
	x := &exchange{lane: &c.main, head: c.head}
	c.main.current, c.main.idle = x, false
	c.handled = []*exchange{x}
	c.head = nil
	c.framer = framer{}
	c.append(rest)
	_ = c.raw.SetReadDeadline(time.Time{})
	c.main.read.set(c, c.main.read.at)
	c.listener.setSplit(c, true)
	c.dispatch()
	c.pumping = true
	go c.pump()
}

// isConcurrent reports whether a request, given by its head, may be handled beside others.
func (c *conn) isConcurrent(head []byte) bool {
	readers := &c.listener.headReaders
	read, ok := readers.Get().(*bufio.Reader)
	if !ok {
		read = bufio.NewReader(nil)
	}
	defer readers.Put(read)
	read.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(read)
	return err == nil && r.ContentLength == 0 && c.listener.Concurrent(r)
}

// isExclusive reports whether no other request may be handled beside a given one.
func (c *conn) isExclusive(x *exchange) bool {
	if x.head != nil {
		x.exclusive, x.head = !c.isConcurrent(x.head), nil
	}
	return x.exclusive
}

// pump reads from the caller until the connection ends.
func (c *conn) pump() {
	buf := make([]byte, 4<<10)
	for {
		n, err := c.raw.Read(buf)
		c.mu.Lock()
		if !c.ended && n > 0 {
			c.append(buf[:n])
			c.dispatch()
		}
		for err == nil && !c.ended && len(c.waiting) >= maxWaiting {
			c.changed.Wait()
		}
		if err != nil {
			c.pumping = false
			if !errors.Is(err, io.EOF) || c.ended {
				c.fail(err)
			}
			c.left, c.waiting = true, nil
			c.changed.Broadcast()
			c.unlock()
			return
		}
		c.unlock()
	}
}

// append adds bytes that have arrived to those that wait. The caller of append holds mu.
func (c *conn) append(b []byte) {
	c.waiting = append(c.waiting, b...)
	c.arrived += int64(len(b))
	c.arrivals = append(c.arrivals, arrival{c.arrived, time.Now()})
}

// take removes the first n of the bytes that wait, and returns when they had arrived.
func (c *conn) take(n int) time.Time {
	c.waiting = c.waiting[n:]
	end := c.arrived - int64(len(c.waiting))
	i := 0
	for c.arrivals[i].end < end {
		i++
	}
	at := c.arrivals[i].at
	if len(c.waiting) == 0 {
		i++
	}
	c.arrivals = slices.Delete(c.arrivals, 0, i)
	return at
}

// fail records that the caller has gone, or that its connection can't be used any more.
// The caller of fail holds mu.
func (c *conn) fail(err error) {
	if c.err == nil {
		c.err, c.waiting = err, nil
	}
	_ = c.raw.Close()
	c.changed.Broadcast()
}

// unlock releases mu, and tells State whether the connection is idle if that has changed.
func (c *conn) unlock() {
	changed := c.active != c.reported
	c.mu.Unlock()
	if changed {
		c.report()
	}
}

// report tells State whether the connection is idle. State may set deadlines, so mu isn't
// held.
func (c *conn) report() {
	c.reporting.Lock()
	defer c.reporting.Unlock()
	c.mu.Lock()
	active, changed := c.active, c.active != c.reported
	c.reported = active
	skip := !changed || c.closed || c.listener.State == nil
	c.mu.Unlock()
	if skip {
		return
	}
	if active {
		c.listener.State(&c.main, http.StateActive)
	} else {
		c.listener.State(&c.main, http.StateIdle)
	}
}

// reportClosed tells State that the connection is closed, and nothing after that.
func (c *conn) reportClosed() {
	c.reporting.Lock()
	defer c.reporting.Unlock()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if c.listener.State != nil {
		c.listener.State(&c.main, http.StateClosed)
	}
}

// dispatch hands requests that wait to lanes, as far as possible. The caller holds mu.
func (c *conn) dispatch() {
	for c.err == nil && !c.ended && !c.left && len(c.waiting) > 0 && c.dispatchOne() {
	}
	if c.bounded && len(c.handled) == 0 && c.main.idle && c.framer.part == inHead {
		c.end() // none of the requests before the bound is left
	}
	if len(c.waiting) < maxWaiting {
		c.changed.Broadcast()
	}
}

// setBound ends the connection after the requests that have arrived. The caller holds mu.
func (c *conn) setBound() {
	if !c.bounded {
		c.bounded, c.bound = true, c.arrived
	}
}

// pastBound reports whether the bytes that wait begin behind the bound.
func (c *conn) pastBound() bool {
	return c.bounded && c.arrived-int64(len(c.waiting)) >= c.bound
}

// requestWaits reports whether a request waits that is to be handled, or bytes of a body that
// may be followed by one.
func (c *conn) requestWaits() bool {
	if len(c.waiting) == 0 || c.last || c.pastBound() {
		return false
	}
	inBody := c.framer.part != inHead && c.framer.part != atEnd
	return inBody || bytes.Contains(c.waiting, []byte(headEnd))
}

// dispatchOne reports whether it has changed anything.
func (c *conn) dispatchOne() bool {
	switch c.framer.part {
	case inHead:
		return c.dispatchHead()
	case atEnd:
		c.framer.part = inHead
		return true
	default:
		return c.dispatchBody()
	}
}

// dispatchHead begins the next request once its head is complete.
func (c *conn) dispatchHead() bool {
	if c.last || c.pastBound() {
		c.waiting = nil
		return false
	}
	if bytes.HasPrefix(c.waiting, []byte(crlf)) {
		c.take(len(crlf)) // an empty line before the head
		return true
	}
	end := bytes.Index(c.waiting, []byte(headEnd))
	var (
		f       framing
		regular bool
	)
	if end >= 0 {
		end += len(headEnd)
		f, regular = parseHead(c.waiting[:end])
	} else if len(c.waiting) < maxWaiting && !hasBareLineFeed(c.waiting) {
		return false
	}
	if !regular {
		return c.beginOpaque()
	}
	n := c.laneFor(c.waiting[:end])
	if n == nil {
		return false
	}
	head := bytes.Clone(c.waiting[:end])
	n.in = head
	n.arrived = c.take(end)
	c.framer.begin(f)
	c.last = c.last || f.closes
	c.begin(&exchange{lane: n, head: head})
	return true
}

// laneFor returns the lane for the next request, given by its head, nil if it has to wait.
// A request that is handled alone gets the main lane.
func (c *conn) laneFor(head []byte) *lane {
	if len(c.handled) == 0 {
		if c.main.idle {
			return &c.main
		}
		return nil
	}
	if len(c.handled) >= maxConcurrent || c.isExclusive(c.handled[0]) || !c.isConcurrent(head) {
		return nil
	}
	n := c.idleLane()
	if n != nil {
		c.listener.countAhead()
	}
	return n
}

// beginOpaque hands all that follows to the main lane, once no other request is handled.
func (c *conn) beginOpaque() bool {
	if len(c.handled) > 0 || !c.main.idle {
		return false
	}
	c.framer.part, c.main.arrived = opaque, time.Time{}
	c.begin(&exchange{lane: &c.main, exclusive: true})
	return true
}

// dispatchBody hands the body of the current request to its lane.
func (c *conn) dispatchBody() bool {
	if len(c.handled) == 0 {
		return false
	}
	n := c.handled[0].lane
	room := maxWaiting - len(n.in)
	if room <= 0 {
		return false
	}
	b := c.waiting[:min(room, len(c.waiting))]
	used := len(b)
	if c.framer.part != opaque {
		used = c.framer.body(b)
	}
	n.in = append(n.in, b[:used]...)
	c.take(used)
	c.changed.Broadcast()
	return used > 0
}

// begin records that a request is handled.
func (c *conn) begin(x *exchange) {
	n := x.lane
	n.current, n.idle, n.before = x, false, len(c.handled)
	c.handled = append(c.handled, x)
	c.active = true
	c.changed.Broadcast()
}

// idleLane returns a lane for a request beside others, nil if there is none now.
func (c *conn) idleLane() *lane {
	for _, n := range c.lanes {
		if n.idle {
			return n
		}
	}
	n := &lane{conn: c, idle: true}
	if !c.listener.open(n) {
		return nil
	}
	c.lanes = append(c.lanes, n)
	return n
}

// advance writes what may be written, in the order of the requests, and ends the
// connection after its last answer. The caller holds mu, which is released meanwhile.
func (c *conn) advance() {
	if c.writing {
		return
	}
	for len(c.handled) > 0 && c.err == nil {
		x := c.handled[0]
		if len(x.held) > 0 {
			b := x.held
			x.held = nil
			c.write(b, time.Now().Add(heldWriteTimeout))
			c.held -= len(b)
			c.changed.Broadcast()
			continue
		}
		if !x.done {
			return
		}
		c.handled = c.handled[1:]
		if x.closes {
			c.end()
			return
		}
	}
	if c.err != nil {
		c.handled = nil
	}
	if len(c.handled) == 0 {
		c.active = false
		if c.last || c.main.closed {
			c.end()
		}
	}
	c.changed.Broadcast()
}

// write writes to the caller. The caller of write holds mu, which is released meanwhile.
func (c *conn) write(b []byte, deadline time.Time) {
	c.writing = true
	c.mu.Unlock()
	_ = c.raw.SetWriteDeadline(deadline)
	_, err := c.raw.Write(b)
	c.mu.Lock()
	c.writing = false
	if err != nil {
		c.fail(err)
	}
}

// end ends the connection: what waits isn't handled any more. The caller holds mu.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended, c.waiting, c.handled, c.active = true, nil, nil, false
	c.listener.setSplit(c, false)
	if closer, ok := c.raw.(interface{ CloseWrite() error }); ok && c.pumping && c.err == nil {
		_ = closer.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	} else {
		_ = c.raw.Close()
	}
	c.changed.Broadcast()
}

// onStateChange records a state of a lane.
func (c *conn) onStateChange(n *lane, s http.ConnState) {
	c.mu.Lock()
	if !c.split {
		c.mainChanged(s)
		c.mu.Unlock()
		if c.listener.State != nil {
			c.listener.State(n, s)
		}
		return
	}
	c.laneChanged(n, s)
	c.dispatch()
	c.unlock()
	if n == &c.main && s == http.StateClosed {
		c.reportClosed()
	}
}

// laneChanged records a state of a lane of a connection that is split.
func (c *conn) laneChanged(n *lane, s http.ConnState) {
	if s == http.StateHijacked {
		c.framer.part = opaque
	}
	switch {
	case c.framer.part == opaque && n == &c.main:
		// The lane reads all requests that follow by itself.
		c.active = s == http.StateActive || s == http.StateHijacked
	case s == http.StateIdle:
		// A request that net/http has read to its end has no end yet to the framer:
		// no further one can be told apart.
		c.last = c.last || c.framer.part != inHead && c.framer.part != atEnd
		n.finish(false)
		c.advance()
		n.idle = true
	}
}

// mainChanged records a state of the only lane of a connection.
func (c *conn) mainChanged(s http.ConnState) {
	switch {
	case s == http.StateIdle && c.framer.part == atEnd:
		c.framer.part = inHead
		if c.head = c.head[:0]; cap(c.head) > maxIdleHead {
			c.head = nil
		}
	case s == http.StateIdle, s == http.StateHijacked:
		c.framer.part, c.head = opaque, nil
	}
}

// endAfter implements EndAfter.
func (c *conn) endAfter(n *lane) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.split {
		c.last = true
		return true
	}
	c.setBound()
	if c.requestWaits() {
		return false
	}
	c.last = true
	return len(c.handled) == 0 || c.handled[len(c.handled)-1] == n.current
}

// settle ends the connection after the requests that have arrived.
func (c *conn) settle() {
	c.mu.Lock()
	defer c.unlock()
	c.setBound()
	c.dispatch()
}

// busy reports whether several requests are handled, or will be after one another.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.handled) > 1 || c.requestWaits()
}
