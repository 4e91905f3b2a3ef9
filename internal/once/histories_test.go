package once_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	histories = 100_000
	steps     = 12
	entries   = 3
	ticketTTL = 10 * time.Second
	retention = 30 * time.Second
)

type (
	// history applies random caller actions and faults to the registries of a
	// few entries, and counts the executions.
	history struct {
		rng     *rand.Rand
		nodes   [entries]*node
		next    id.Incarnation
		tickets []*ticket
		problem string
	}

	node struct {
		name id.Instance
		reg  *once.Registry
		age  time.Duration
		// paused processes do not answer until they resume.
		paused bool
		open   []open
	}

	ticket struct {
		text string
		// executions counts the executions that ran or may have run.
		executions int
	}

	open struct {
		ticket *ticket
		use    once.Use
	}
)

// TestAtMostOnceOverHistories checks that no ticket is executed twice in random
// histories of retries to the same and to other entries, with entries that pause,
// resume and are replaced under the same name, and with requests that ran, did not
// run or whose outcome is unknown.
func TestAtMostOnceOverHistories(t *testing.T) {
	workers := runtime.GOMAXPROCS(0)
	var wg sync.WaitGroup
	executed := make([]int, workers)
	for w := range workers {
		wg.Go(func() {
			for seed := w; seed < histories; seed += workers {
				h := newHistory(uint64(seed))
				if h.run(); h.problem != "" {
					t.Errorf("seed %d: %s", seed, h.problem)
					return
				}
				executed[w] += h.executions()
			}
		})
	}
	wg.Wait()
	sum := 0
	for _, n := range executed {
		sum += n
	}
	if sum < histories/2 {
		t.Errorf("only %d executions in %d histories", sum, histories)
	}
}

func newHistory(seed uint64) *history {
	h := &history{rng: rand.New(rand.NewPCG(seed, 5))}
	for i := range h.nodes {
		h.nodes[i] = h.start(id.Instance(fmt.Sprintf("entry-%d", i)))
	}
	return h
}

func (h *history) start(name id.Instance) *node {
	h.next++
	key := []byte(fmt.Sprintf("key of incarnation %d", h.next))
	return &node{name: name, reg: &once.Registry{Instance: name, Incarnation: h.next, Key: key, TicketTTL: ticketTTL, Retention: retention, MaxTickets: 4, MaxAnswerBytes: 8}}
}

func (h *history) run() {
	for range steps {
		i := h.rng.IntN(entries)
		n := h.nodes[i]
		switch h.rng.IntN(12) {
		case 0, 1:
			if !n.paused && len(h.tickets) < 3 {
				h.tickets = append(h.tickets, &ticket{text: n.reg.Issue(n.age, "registry")})
			}
		case 2, 3, 4, 5, 6:
			if len(h.tickets) > 0 {
				h.send(n, h.tickets[h.rng.IntN(len(h.tickets))], true)
			}
		case 7, 8:
			h.end(n)
		case 9:
			n.paused = !n.paused
		case 10:
			// The answers to its executions are lost; they may still finish.
			h.nodes[i] = h.start(n.name)
		case 11:
			h.advance(time.Duration(h.rng.Int64N(int64(retention))))
		}
	}
}

func (h *history) advance(d time.Duration) {
	for _, n := range h.nodes {
		n.age += d
	}
}

// send uses a ticket at a node. If forward is set, a node that receives another
// instance's ticket forwards it.
func (h *history) send(n *node, k *ticket, forward bool) {
	if n.paused {
		return
	}
	use := n.reg.Begin(n.age, "registry", k.text, once.Binding{1})
	switch use.State {
	case once.Run:
		if k.executions++; k.executions > 1 {
			h.problem = "executed twice"
		}
		n.open = append(n.open, open{k, use})
	case once.OtherInstance:
		for _, to := range h.nodes {
			if forward && to.name == use.Instance {
				h.send(to, k, false)
			}
		}
	case once.Refused, once.Ended:
		if k.executions > 0 && use.Code.Ran() == result.No {
			h.problem = fmt.Sprintf("code %d means that the request did not run, but it was executed", use.Code)
		}
	}
}

// end ends the oldest execution of a node.
func (h *history) end(n *node) {
	if n.paused || len(n.open) == 0 {
		return
	}
	o := n.open[0]
	n.open = n.open[1:]
	switch h.rng.IntN(3) {
	case 0:
		o.ticket.executions--
		n.reg.End(o.use, result.ConnectFailed, nil)
	case 1:
		n.reg.End(o.use, result.AnswerCut, nil)
	default:
		n.reg.End(o.use, result.Served, &once.Answer{Body: make([]byte, 5)})
	}
}

func (h *history) executions() int {
	sum := 0
	for _, k := range h.tickets {
		sum += k.executions
	}
	return sum
}
