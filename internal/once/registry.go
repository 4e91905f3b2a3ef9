package once

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Decisions on the use of a ticket.
const (
	// Refused means that the request must not run; Use.Code is the reason. It
	// is the zero State.
	Refused State = iota
	// Run means that the request is to be executed now, by this call only.
	Run
	// Running means that the request is being executed; Use.Done is closed
	// when the execution has ended.
	Running
	// Ended means that the request was executed; Use.Code and Use.Answer are
	// its outcome.
	Ended
	// OtherInstance means that the request has to be forwarded to another
	// instance, Use.Instance.
	OtherInstance
)

const (
	defaultTicketTTL      = 10 * time.Minute
	defaultRetention      = 24 * time.Hour
	defaultMaxTickets     = 200_000
	defaultMaxAnswerBytes = 32 << 20
)

type (
	// State is the decision on the use of a ticket.
	State uint8

	// Binding distinguishes requests that use the same ticket. It is a digest
	// of method, path and body.
	Binding [32]byte

	// Use is the decision on one use of a ticket.
	Use struct {
		// State is the decision.
		State State
		// Code is the outcome or the reason of a refusal.
		Code result.Code
		// Answer is the stored answer, nil if there is none.
		Answer *Answer
		// Done is closed when the running execution has ended.
		Done <-chan struct{}
		// Instance is where to forward the request if State is OtherInstance.
		Instance id.Instance

		number uint64
	}

	// Answer is the complete answer of a backend server.
	Answer struct {
		// Status is the HTTP status.
		Status int
		// Header holds the header fields that are passed to the caller.
		Header map[string][]string
		// Trailer holds the trailer.
		Trailer map[string][]string
		// Body is the complete body.
		Body []byte
		// Server is the backend server's name.
		Server id.Server
	}

	// Registry issues the tickets of one incarnation and decides on their use.
	// Its fields must not change after the first call. It is safe for
	// concurrent use. Times are ages of the incarnation.
	Registry struct {
		// Instance is the entry's name.
		Instance id.Instance
		// Incarnation is the incarnation of the entry's process.
		Incarnation id.Incarnation
		// Key is the key that signs tickets: 32 random bytes, different in
		// each incarnation.
		Key []byte
		// TicketTTL is how long a ticket may be used; 0 means 10 min.
		TicketTTL time.Duration
		// Retention is how long after its expiry a used ticket is kept; 0
		// means 24 h. After that the outcome of the ticket is unknown.
		Retention time.Duration
		// MaxTickets is the maximum number of used tickets that are kept; 0
		// means 200,000. New requests are refused at the maximum.
		MaxTickets int
		// MaxAnswerBytes is the maximum total size of the stored answers'
		// bodies in bytes; 0 means 32 MiB. The oldest are dropped first.
		MaxAnswerBytes int

		mu        sync.Mutex
		last      uint64
		used      map[uint64]*record
		order     []uint64
		kept      []uint64
		keptBytes int
	}

	record struct {
		binding Binding
		expires time.Duration
		done    chan struct{}
		// unclaimed means that no execution is running and that none ran.
		unclaimed bool
		ended     bool
		code      result.Code
		answer    *Answer
	}
)

// Issue issues a new ticket for the service.
func (r *Registry) Issue(age time.Duration, service id.Service) string {
	r.mu.Lock()
	r.last++
	n := r.last
	r.mu.Unlock()
	t := Ticket{Instance: r.Instance, Incarnation: r.Incarnation, Service: service, Number: n, Expires: age + r.Lifetime()}
	return t.encode(r.Key)
}

// Lifetime returns how long a new ticket may be used.
func (r *Registry) Lifetime() time.Duration { return orDefault(r.TicketTTL, defaultTicketTTL) }

// Begin decides on one use of a ticket. If the State is Run, End must be called
// once the execution has ended.
func (r *Registry) Begin(age time.Duration, service id.Service, ticket string, binding Binding) Use {
	var t Ticket
	if err := t.UnmarshalText([]byte(ticket)); err != nil {
		return Use{Code: result.TicketInvalid}
	}
	switch {
	case t.Instance != r.Instance:
		return Use{State: OtherInstance, Instance: t.Instance, Code: result.TicketElsewhere}
	case t.Incarnation != r.Incarnation:
		return Use{Code: result.TicketElsewhere}
	case !t.authentic(r.Key):
		return Use{Code: result.TicketInvalid}
	case t.Service != service:
		return Use{Code: result.TicketMismatch}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(age)
	rec := r.used[t.Number]
	if rec != nil && !rec.unclaimed {
		return rec.use(t.Number, binding)
	}
	return r.beginFirst(age, &t, binding)
}

// beginFirst decides on an authentic ticket whose request has not run.
func (r *Registry) beginFirst(age time.Duration, t *Ticket, binding Binding) Use {
	switch {
	case age >= t.Expires+orDefault(r.Retention, defaultRetention):
		return Use{Code: result.TicketForgotten}
	case age >= t.Expires:
		return Use{Code: result.TicketInvalid}
	}
	rec := r.used[t.Number]
	if rec == nil {
		if len(r.used) >= orDefault(r.MaxTickets, defaultMaxTickets) {
			return Use{Code: result.NoCapacity}
		}
		if r.used == nil {
			r.used = map[uint64]*record{}
		}
		rec = &record{expires: t.Expires}
		r.used[t.Number] = rec
		r.order = append(r.order, t.Number)
	}
	rec.unclaimed, rec.binding, rec.done = false, binding, make(chan struct{})
	return Use{State: Run, Done: rec.done, number: t.Number}
}

// End records the outcome of an execution. If the code means that the request did
// not run, the ticket may be used again.
func (r *Registry) End(use Use, code result.Code, answer *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.used[use.number]
	if rec == nil || rec.ended || rec.unclaimed {
		return
	}
	if code.Ran() == result.No {
		rec.unclaimed = true
	} else {
		rec.ended, rec.code = true, code
		if answer != nil {
			r.keep(use.number, rec, answer)
		}
	}
	close(rec.done)
}

func (r *Registry) keep(number uint64, rec *record, answer *Answer) {
	rec.answer = answer
	r.kept = append(r.kept, number)
	r.keptBytes += len(answer.Body)
	for r.keptBytes > orDefault(r.MaxAnswerBytes, defaultMaxAnswerBytes) && len(r.kept) > 0 {
		if old := r.used[r.kept[0]]; old != nil && old.answer != nil {
			r.keptBytes -= len(old.answer.Body)
			old.answer = nil
		}
		r.kept = r.kept[1:]
	}
}

// evict removes tickets after their retention. Tickets expire in about the order of
// their first use, so that only the oldest are checked.
func (r *Registry) evict(age time.Duration) {
	for len(r.order) > 0 {
		number := r.order[0]
		rec := r.used[number]
		if rec != nil && (!rec.ended && !rec.unclaimed || age < rec.expires+orDefault(r.Retention, defaultRetention)) {
			return
		}
		if rec != nil && rec.answer != nil {
			r.keptBytes -= len(rec.answer.Body)
			rec.answer = nil
		}
		delete(r.used, number)
		r.order = r.order[1:]
	}
}

func (rec *record) use(number uint64, binding Binding) Use {
	switch {
	case rec.binding != binding:
		return Use{Code: result.TicketMismatch}
	case !rec.ended:
		return Use{State: Running, Done: rec.done, number: number}
	case rec.code.Ran() == result.Yes && rec.answer == nil:
		return Use{State: Ended, Code: result.AnswerNotKept}
	case rec.code.Ran() == result.Yes:
		return Use{State: Ended, Code: result.Replayed, Answer: rec.answer}
	default:
		return Use{State: Ended, Code: rec.code}
	}
}

func orDefault[T time.Duration | int](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
