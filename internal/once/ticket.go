package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	ticketFormat = 1
	sumSize      = 16
	fixedSize    = 1 + 8 + 8 + 8
	maxTicket    = 256
)

// Ticket is a decoded ticket. Only the registry that issued it can verify its
// signature.
type Ticket struct {
	// Instance is the instance that issued the ticket.
	Instance id.Instance
	// Incarnation is the incarnation that issued it.
	Incarnation id.Incarnation
	// Service is the service that it is valid for.
	Service id.Service
	// Number is unique among the incarnation's tickets.
	Number uint64
	// Expires is the age of the incarnation at which the ticket expires.
	Expires time.Duration

	body, sum []byte
}

// UnmarshalText decodes a ticket and validates its format, but not its signature.
func (t *Ticket) UnmarshalText(text []byte) error {
	if len(text) > maxTicket {
		return eris.Errorf("ticket has %d characters, want at most %d", len(text), maxTicket)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return eris.New("ticket is not base64")
	}
	if len(raw) < fixedSize+2+sumSize || raw[0] != ticketFormat {
		return eris.New("ticket is too short or of an unknown format version")
	}
	next := Ticket{
		Incarnation: id.Incarnation(binary.BigEndian.Uint64(raw[1:])),
		Number:      binary.BigEndian.Uint64(raw[9:]),
		Expires:     time.Duration(binary.BigEndian.Uint64(raw[17:])),
		body:        raw[:len(raw)-sumSize], sum: raw[len(raw)-sumSize:],
	}
	if next.Expires < 0 {
		return eris.New("ticket has a negative expiry")
	}
	rest := next.body[fixedSize:]
	service, rest, ok := cutName(rest)
	if !ok || next.Service.UnmarshalText(service) != nil {
		return eris.New("ticket has no valid service name")
	}
	instance, rest, ok := cutName(rest)
	if !ok || len(rest) > 0 || next.Instance.UnmarshalText(instance) != nil {
		return eris.New("ticket has no valid instance name")
	}
	*t = next
	return nil
}

func (t *Ticket) encode(key []byte) string {
	b := make([]byte, fixedSize, maxTicket)
	b[0] = ticketFormat
	binary.BigEndian.PutUint64(b[1:], uint64(t.Incarnation))
	binary.BigEndian.PutUint64(b[9:], t.Number)
	binary.BigEndian.PutUint64(b[17:], uint64(t.Expires))
	b = append(append(b, byte(len(t.Service))), t.Service...)
	b = append(append(b, byte(len(t.Instance))), t.Instance...)
	return base64.RawURLEncoding.EncodeToString(append(b, sum(key, b)...))
}

func (t *Ticket) authentic(key []byte) bool { return hmac.Equal(t.sum, sum(key, t.body)) }

func sum(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	_, _ = m.Write(body)
	return m.Sum(nil)[:sumSize]
}

// cutName splits a length-prefixed name off b.
func cutName(b []byte) (name, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return nil, nil, false
	}
	end := 1 + int(b[0])
	return b[1:end], b[end:], true
}
