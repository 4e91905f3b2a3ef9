// Package datagram exchanges short questions and answers between entries over UDP.
//
// A question is sent once. If it or its answer is lost, the asker's context ends. Questions
// of a kind are answered by the handler of that kind; a handler must return quickly, because
// it runs on the goroutine that receives.
//
// # Usage
//
//	x := &datagram.Exchange{Log: log}
//	x.Handle(kind, func(from netip.AddrPort, question []byte) []byte { return answer })
//	go x.Run(ctx, packetConn)
//	answer, err := x.Ask(ctx, addr, kind, question)
//	err = x.Send(addr, kind, message) // gets no answer
package datagram

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxPayload is the length of the longest question or answer in bytes. With its envelope it
// fits into one packet.
const MaxPayload = 1200

// maxDatagram is the size of the receive buffer in bytes.
const maxDatagram = 2048

// Kinds of questions.
const (
	// Freshness asks for the configuration's version and the age of its last confirmation.
	Freshness Kind = 1
	// Quota asks for grants of organisations' quotas.
	Quota Kind = 2
	// Cold notifies of servers that are cold. It gets no answer.
	Cold Kind = 3
)

var (
	errNotRunning = errors.New("exchange is not running")
	errNoAnswer   = errors.New("no handler for the kind")
)

type (
	// Kind identifies the handler of a question.
	Kind uint8

	// Handler answers a question. It returns nil to give no answer.
	Handler func(from netip.AddrPort, question []byte) []byte

	// Exchange sends and answers questions. Handlers must be registered before Run. It is
	// safe for concurrent use.
	Exchange struct {
		// Log receives a line for each datagram that can't be read.
		Log *slog.Logger

		handlers map[Kind]Handler

		mu      sync.Mutex
		conn    net.PacketConn
		last    uint64
		waiting map[uint64]*question
	}

	// question is a question that waits for its answer.
	question struct {
		to     netip.AddrPort
		answer chan []byte
	}

	// message is one datagram.
	message struct {
		// ID is chosen by the asker, and repeated in the answer.
		ID uint64 `cbor:"1,keyasint"`
		// Kind is the kind of the question.
		Kind Kind `cbor:"2,keyasint"`
		// Answer is set in answers.
		Answer bool `cbor:"3,keyasint,omitempty"`
		// Payload is the question or the answer.
		Payload []byte `cbor:"4,keyasint"`
	}
)

// Handle registers the handler of a kind.
func (x *Exchange) Handle(kind Kind, h Handler) {
	if x.handlers == nil {
		x.handlers = make(map[Kind]Handler)
	}
	x.handlers[kind] = h
}

// Run sends and receives on conn until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn net.PacketConn) error {
	x.mu.Lock()
	x.conn = conn
	// An answer to a question of an earlier process must not match one of this process.
	x.last = uint64(time.Now().UnixNano())
	x.mu.Unlock()
	defer context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			x.Log.Warn("question not read", "err", err)
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			x.Log.Warn("question dropped", "from", from, "bytes", n, "err", err)
			continue
		}
		x.receive(address(from), &m)
	}
}

// Ask sends a question to another entry and returns its answer.
func (x *Exchange) Ask(ctx context.Context, to netip.AddrPort, kind Kind, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayload {
		return nil, eris.Errorf("question has %d bytes, want at most %d", len(payload), MaxPayload)
	}
	q := &question{to: unmapped(to), answer: make(chan []byte, 1)}
	x.mu.Lock()
	if x.conn == nil {
		x.mu.Unlock()
		return nil, errNotRunning
	}
	if x.waiting == nil {
		x.waiting = make(map[uint64]*question)
	}
	x.last++
	id := x.last
	x.waiting[id] = q
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.waiting, id)
	}()
	if err := x.write(to, &message{ID: id, Kind: kind, Payload: payload}); err != nil {
		return nil, err
	}
	select {
	case answer := <-q.answer:
		return answer, nil
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "no answer of %s", to)
	}
}

// Send sends a message that gets no answer to another entry, once. It may be lost.
func (x *Exchange) Send(to netip.AddrPort, kind Kind, payload []byte) error {
	if len(payload) > MaxPayload {
		return eris.Errorf("message has %d bytes, want at most %d", len(payload), MaxPayload)
	}
	x.mu.Lock()
	running := x.conn != nil
	x.mu.Unlock()
	if !running {
		return errNotRunning
	}
	return x.write(to, &message{Kind: kind, Payload: payload})
}

func (x *Exchange) receive(from netip.AddrPort, m *message) {
	if m.Answer {
		x.mu.Lock()
		defer x.mu.Unlock()
		if q := x.waiting[m.ID]; q != nil && q.to == from {
			delete(x.waiting, m.ID)
			q.answer <- m.Payload
		}
		return
	}
	h := x.handlers[m.Kind]
	if h == nil {
		x.Log.Warn("question dropped", "from", from, "kind", m.Kind, "err", errNoAnswer)
		return
	}
	answer := h(from, m.Payload)
	if answer == nil {
		return
	}
	if len(answer) > MaxPayload {
		x.Log.Error("answer too long", "kind", m.Kind, "bytes", len(answer), "limit", MaxPayload)
		return
	}
	// A lost answer is like a lost question.
	_ = x.write(from, &message{ID: m.ID, Kind: m.Kind, Answer: true, Payload: answer})
}

func (x *Exchange) write(to netip.AddrPort, m *message) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode question")
	}
	_, err = x.conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	return eris.Wrap(err, "send question")
}

func address(a net.Addr) netip.AddrPort {
	if udp, ok := a.(*net.UDPAddr); ok {
		return unmapped(udp.AddrPort())
	}
	return netip.AddrPort{}
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
