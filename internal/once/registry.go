package once

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// What may be done with a ticket.
const (
	// Refused means that the request must not run; Use.Code says why. It is
	// the zero State.
	Refused State = iota
	// Run means that the request is to be executed now, by this call alone.
	Run
	// Running means that the request is being executed; Use.Done ends then.
	Running
	// Ended means that the request was executed; Use.Code and Use.Answer tell
	// its outcome.
	Ended
	// Elsewhere means that another instance, Use.Instance, has to be asked.
	Elsewhere
)

const (
	defaultLife    = 10 * time.Minute
	defaultMemory  = 24 * time.Hour
	defaultTickets = 200_000
	defaultAnswers = 32 << 20
)

type (
	// State tells what may be done with a ticket.
	State uint8

	// Binding tells requests apart that use the same ticket: a digest over
	// method, path and body.
	Binding [32]byte

	// Use is the decision on one use of a ticket.
	Use struct {
		// State is the decision.
		State State
		// Code is the outcome or the reason of a refusal.
		Code result.Code
		// Answer is the kept answer, nil if there is none.
		Answer *Answer
		// Done ends when the running execution has.
		Done <-chan struct{}
		// Instance has to be asked if State is Elsewhere.
		Instance id.Instance

		number uint64
	}

	// Answer is a backend server's whole answer.
	Answer struct {
		// Status is the HTTP status.
		Status int
		// Header holds what is passed on of the header.
		Header map[string][]string
		// Trailer holds the trailer.
		Trailer map[string][]string
		// Body is the whole body.
		Body []byte
		// Server names the backend server.
		Server id.Server
	}

	// Registry mints and executes the tickets of one incarnation. Its fields
	// must not change after the first call. It is safe for concurrent use.
	// Times are ages of the incarnation.
	Registry struct {
		// Instance is the entry's name.
		Instance id.Instance
		// Incarnation is that of the entry's process.
		Incarnation id.Incarnation
		// Key signs tickets; it is 32 random bytes that no other incarnation
		// has.
		Key []byte
		// Life is how long a ticket may be used; 0 is 10 min.
		Life time.Duration
		// Memory is how long after its end a used ticket is remembered; 0 is
		// 24 h. Longer after its end nothing is said about a ticket.
		Memory time.Duration
		// Tickets is the greatest number of remembered tickets; 0 is 200,000.
		// New requests are refused while it is reached.
		Tickets int
		// Answers is the greatest size of all kept answers in bytes; 0 is
		// 32 MiB. The oldest are dropped first.
		Answers int

		mu    sync.Mutex
		last  uint64
		used  map[uint64]*record
		order []uint64
		kept  []uint64
		size  int
	}

	record struct {
		binding Binding
		expires time.Duration
		done    chan struct{}
		// free tells that no execution is under way and that none ran.
		free   bool
		ended  bool
		code   result.Code
		answer *Answer
	}
)

// Mint returns a new ticket for the service.
func (r *Registry) Mint(age time.Duration, service id.Service) string {
	r.mu.Lock()
	r.last++
	n := r.last
	r.mu.Unlock()
	t := Ticket{Instance: r.Instance, Incarnation: r.Incarnation, Service: service, Number: n, Expires: age + r.Lifetime()}
	return t.encode(r.Key)
}

// Lifetime returns how long a new ticket may be used.
func (r *Registry) Lifetime() time.Duration { return orDefault(r.Life, defaultLife) }

// Begin decides on one use of a ticket. If it answers Run, End must be called
// once the execution has ended.
func (r *Registry) Begin(age time.Duration, service id.Service, ticket string, binding Binding) Use {
	var t Ticket
	if err := t.UnmarshalText([]byte(ticket)); err != nil {
		return Use{Code: result.TicketInvalid}
	}
	switch {
	case t.Instance != r.Instance:
		return Use{State: Elsewhere, Instance: t.Instance, Code: result.TicketElsewhere}
	case t.Incarnation != r.Incarnation:
		return Use{Code: result.TicketElsewhere}
	case !t.genuine(r.Key):
		return Use{Code: result.TicketInvalid}
	case t.Service != service:
		return Use{Code: result.TicketMismatch}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(age)
	rec := r.used[t.Number]
	if rec != nil && !rec.free {
		return rec.use(t.Number, binding)
	}
	return r.first(age, &t, binding)
}

// first decides on a genuine ticket whose request has not run.
func (r *Registry) first(age time.Duration, t *Ticket, binding Binding) Use {
	switch {
	case age >= t.Expires+orDefault(r.Memory, defaultMemory):
		return Use{Code: result.TicketForgotten}
	case age >= t.Expires:
		return Use{Code: result.TicketInvalid}
	}
	rec := r.used[t.Number]
	if rec == nil {
		if len(r.used) >= orDefault(r.Tickets, defaultTickets) {
			return Use{Code: result.NoCapacity}
		}
		if r.used == nil {
			r.used = map[uint64]*record{}
		}
		rec = &record{expires: t.Expires}
		r.used[t.Number] = rec
		r.order = append(r.order, t.Number)
	}
	rec.free, rec.binding, rec.done = false, binding, make(chan struct{})
	return Use{State: Run, Done: rec.done, number: t.Number}
}

// End notes the outcome of an execution. A code that says that the request
// did not run gives the ticket free again.
func (r *Registry) End(use Use, code result.Code, answer *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.used[use.number]
	if rec == nil || rec.ended || rec.free {
		return
	}
	if code.Ran() == result.No {
		rec.free = true
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
	r.size += len(answer.Body)
	for r.size > orDefault(r.Answers, defaultAnswers) && len(r.kept) > 0 {
		if old := r.used[r.kept[0]]; old != nil && old.answer != nil {
			r.size -= len(old.answer.Body)
			old.answer = nil
		}
		r.kept = r.kept[1:]
	}
}

// forget drops what nobody is told about any more. Tickets end in about the
// order of their first use, so that only the oldest are looked at.
func (r *Registry) forget(age time.Duration) {
	for len(r.order) > 0 {
		number := r.order[0]
		rec := r.used[number]
		if rec != nil && (!rec.ended && !rec.free || age < rec.expires+orDefault(r.Memory, defaultMemory)) {
			return
		}
		if rec != nil && rec.answer != nil {
			r.size -= len(rec.answer.Body)
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
