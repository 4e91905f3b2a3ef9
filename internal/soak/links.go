package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// linkCutProbability is the probability with which a run cuts links.
	linkCutProbability = 0.4
	// minCutTime and maxCutTime bound the time for which entries lose their links, beyond
	// the stableWindow.
	minCutTime = stableWindow + time.Second
	maxCutTime = stableWindow + 4*time.Second
	// maxCutGap is the longest time between two cuts.
	maxCutGap = 2 * time.Second
)

// Rule for entries without links to servers: later than the stableWindow after the cut
// began, they serve at least minServedRatio of what the others serve, as shares of their
// requests, or no more than maxCutFailures and maxCutFailureShare of all requests fail there.
const (
	minServedRatio     = 2.0 / 3
	maxCutFailures     = 10
	maxCutFailureShare = 1.0 / 50
)

type (
	// links are proxies between each entry and each backend server, by which entries
	// lose their links to all servers. Entries find them in place of the servers'
	// addresses in what the store answers.
	links struct {
		rng *rand.Rand

		mu   sync.Mutex
		all  map[*process]map[*backend]*proxy
		cut  map[*process]bool
		down map[*backend]bool
		cuts []linkCut
	}

	// linkCut is a time for which entries had no links.
	linkCut struct {
		entries  []*process
		from, to time.Time
	}
)

// newLinks returns the links of the run, nil if it cuts none.
func (s *soak) newLinks() *links {
	rng := rand.New(rand.NewPCG(s.options.Seed, linkStream))
	if rng.Float64() >= linkCutProbability {
		return nil
	}
	return &links{rng: rng, all: make(map[*process]map[*backend]*proxy), cut: make(map[*process]bool), down: make(map[*backend]bool)}
}

// connect starts the proxies between an entry and all servers. It must be called before the
// entry is started.
func (l *links) connect(s *soak, e *process) error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[e] = make(map[*backend]*proxy)
	addresses := make(map[string]string)
	for _, b := range s.servers {
		p, err := newProxy(s.ip, b.proxy.address)
		if err != nil {
			return err
		}
		if len(p.address) != len(b.proxy.address) {
			return fmt.Errorf("addresses %s and %s differ in length", p.address, b.proxy.address)
		}
		l.all[e][b], addresses[b.proxy.address] = p, p.address
	}
	e.storeProxy.setRewrite(func() *rewriter { return &rewriter{addresses: addresses} })
	return nil
}

// takeDown makes the links to a server refuse connections, as the server does.
func (l *links) takeDown(b *backend) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[b] = true
	for _, of := range l.all {
		of[b].refuse()
		of[b].reset()
	}
}

// restore makes the links to a server take connections again, but for entries without links.
func (l *links) restore(b *backend) error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[b] = false
	for e, of := range l.all {
		if !l.cut[e] {
			if err := of[b].listen(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *links) close() {
	if l == nil {
		return
	}
	for _, of := range l.all {
		for _, p := range of {
			p.close()
		}
	}
}

// run cuts links until ctx ends.
func (l *links) run(ctx context.Context, s *soak) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(l.rng.Int64N(int64(maxCutGap))))
		entries := l.choose(s)
		resets := l.rng.IntN(2) == 0
		duration := minCutTime + time.Duration(l.rng.Int64N(int64(maxCutTime-minCutTime)))
		s.logFault("%d entries from %s on lose their links for %v, open connections are reset: %v", len(entries), entries[0].name, duration, resets)
		from := time.Now()
		l.set(s, entries, true, resets)
		sleep(ctx, duration)
		l.set(s, entries, false, false)
		l.mu.Lock()
		l.cuts = append(l.cuts, linkCut{entries, from, time.Now()})
		l.mu.Unlock()
	}
}

// choose returns one entry, those of a zone, or all but one.
func (l *links) choose(s *soak) []*process {
	all := s.entries
	i := l.rng.IntN(len(all))
	switch l.rng.IntN(3) {
	case 0:
		return []*process{all[i]}
	case 1:
		var of []*process
		for _, e := range all {
			if e.zone == i%2 {
				of = append(of, e)
			}
		}
		return of
	default:
		return append(append([]*process(nil), all[:i]...), all[i+1:]...)
	}
}

// set cuts or restores the links of entries.
func (l *links) set(s *soak, entries []*process, cut, resets bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		l.cut[e] = cut
		for b, p := range l.all[e] {
			switch {
			case cut:
				p.refuse()
				if resets {
					p.reset()
				}
			case !l.down[b]:
				if err := p.listen(); err != nil {
					s.logFault("link of %s to %s not restored: %v", e.name, p.address, err)
				}
			}
		}
	}
}

// linked reports whether an entry with links is in touch at a time, so that there is one to
// compare with.
func (l *linkCut) linked(s *soak, at time.Time) bool {
	return slices.ContainsFunc(s.entries, func(e *process) bool {
		return !slices.Contains(l.entries, e) && e.outOfTouch.quiet(at, stableWindow)
	})
}

// checkLinks checks the rule for entries without links, and returns the number of cuts that
// could be checked.
func (c *checker) checkLinks() int {
	l := c.soak.links
	if l == nil {
		return 0
	}
	checked := 0
	for _, cut := range l.cuts {
		type count struct{ sent, served int }
		var at, others count
		for _, a := range c.attempts {
			if a.sent.Before(cut.from.Add(stableWindow)) || a.done.After(cut.to) || a.interrupted || a.crashing || a.version != 0 || a.mayBeRefused() {
				continue
			}
			if !a.entry.outOfTouch.quiet(a.done, stableWindow) || !cut.linked(c.soak, a.done) {
				continue
			}
			of := &others
			if slices.Contains(cut.entries, a.entry) {
				of = &at
			}
			of.sent++
			if a.status == http.StatusOK {
				of.served++
			}
		}
		if at.sent == 0 || others.sent == 0 {
			continue
		}
		checked++
		ratio := float64(at.served) / float64(at.sent) / (float64(others.served) / float64(others.sent))
		if failed := at.sent - at.served; ratio < minServedRatio && float64(failed) > maxCutFailures+maxCutFailureShare*float64(at.sent+others.sent) {
			c.addViolation("links: entries without links to servers from %.2f to %.2f s served %d of %d requests, the others %d of %d",
				c.seconds(cut.from), c.seconds(cut.to), at.served, at.sent, others.served, others.sent)
		}
	}
	return checked
}

// rewriter replaces addresses in a stream by others of the same length.
type rewriter struct {
	addresses map[string]string
	held      []byte // the end of the stream so far, if it may be the start of an address
}

// next returns what to forward once data has been read.
func (r *rewriter) next(data []byte) []byte {
	data = append(r.held, data...)
	for from, to := range r.addresses {
		data = bytes.ReplaceAll(data, []byte(from), []byte(to))
	}
	keep := 0
	for from := range r.addresses {
		for n := min(len(from)-1, len(data)); n > keep; n-- {
			if bytes.HasSuffix(data, []byte(from[:n])) {
				keep = n
			}
		}
	}
	r.held = append([]byte(nil), data[len(data)-keep:]...)
	return data[:len(data)-keep]
}

// relayed returns the entries that have answered requests for others, according to the
// entries' logs, by request.
func (s *soak) relayed() map[string]*process {
	out := make(map[string]*process)
	line := regexp.MustCompile(`msg=request request=(\S+) .* relay=(entry-\d+)`)
	byName := make(map[string]*process)
	for _, e := range s.entries {
		byName[e.name] = e
	}
	for _, e := range s.entries {
		data, err := os.ReadFile(filepath.Join(s.options.Folder, e.name+".log"))
		if err != nil {
			continue
		}
		for _, m := range line.FindAllSubmatch(data, -1) {
			out[string(m[1])] = byName[string(m[2])]
		}
	}
	return out
}

// sender returns the entry that sent a request to servers.
func (c *checker) sender(a *attempt) *process {
	if e := c.relayed[a.id]; e != nil {
		return e
	}
	return a.entry
}

// passedOnBy returns the entries that passed on the answer of a request.
func (c *checker) passedOnBy(a *attempt) []id.Instance {
	out := []id.Instance{id.Instance(a.entry.name)}
	if e := c.sender(a); e != a.entry {
		out = append(out, id.Instance(e.name))
	}
	return out
}
