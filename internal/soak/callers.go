package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	deadline = 2 * time.Second
	// pause is how long a caller waits between two requests.
	pause = 15 * time.Millisecond
	// lookupTime is how long a caller uses a directory's answer.
	lookupTime = time.Second
	objects    = 40
	maxBody    = 40_000
)

type (
	// attempt is one request of a caller and what came of it.
	attempt struct {
		id       string
		method   string
		path     string
		digest   string
		version  int // that a probe asked for, 0 if it is none
		entry    *process
		start    int // how often the entry had been started
		sent     time.Time
		done     time.Time
		status   int // 0 without a whole answer
		body     string
		sign     string
		stopping bool // a planned stop of the entry was under way
	}

	// callers send requests and keep what came of them.
	callers struct {
		mu       sync.Mutex
		attempts []*attempt
	}
)

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context, s *soak, n int) {
	rng := rand.New(rand.NewPCG(s.options.Seed, uint64(n)+1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: deadline}
	defer client.CloseIdleConnections()
	var (
		known []*process
		until time.Time
	)
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(until) || len(known) == 0 {
			known, until = s.lookup(client, n), time.Now().Add(lookupTime)
		}
		if len(known) == 0 {
			sleep(ctx, pause)
			continue
		}
		a := s.attempt(rng, fmt.Sprintf("c%d-%d", n, i))
		a.entry = known[rng.IntN(len(known))]
		s.send(ctx, client, rng, a)
		if ctx.Err() != nil && a.status == 0 {
			return // the run's end cut it off
		}
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if a.status == 0 {
			until = time.Time{}
		}
		sleep(ctx, pause)
	}
}

// lookup asks the entries' directories in turn.
func (s *soak) lookup(client *http.Client, n int) []*process {
	for k := range s.entries {
		at := s.entries[(n+k)%len(s.entries)]
		addresses, err := standin.Lookup(client, fmt.Sprintf("127.0.0.1:%d", at.ports[2]), host, zone(n), region(n))
		if err != nil {
			continue // another entry may answer
		}
		var found []*process
		for _, e := range s.entries {
			for _, address := range addresses {
				if strings.HasSuffix(address, ":"+strconv.Itoa(e.ports[0])) {
					found = append(found, e)
				}
			}
		}
		return found
	}
	return nil
}

// attempt draws a request.
func (s *soak) attempt(rng *rand.Rand, name string) *attempt {
	object := rng.IntN(objects)
	switch draw := rng.IntN(100); {
	case draw < 50:
		return &attempt{id: name, method: http.MethodGet, path: fmt.Sprintf("/read/%d?q=%%20%d", object, draw)}
	case draw < 85:
		return &attempt{id: name, method: http.MethodPost, path: fmt.Sprintf("/write/%d", object)}
	default:
		s.mu.Lock()
		v := s.version
		s.mu.Unlock()
		v = max(v-rng.IntN(2), 1)
		return &attempt{id: name, method: http.MethodGet, path: fmt.Sprintf("/version/%d/x", v), version: v}
	}
}

func (s *soak) send(ctx context.Context, client *http.Client, rng *rand.Rand, a *attempt) {
	body := ""
	if a.method == http.MethodPost {
		body = strings.Repeat(a.id+" ", 1+rng.IntN(maxBody)/len(a.id))
	}
	sum := sha256.Sum256([]byte(body))
	a.digest = hex.EncodeToString(sum[:])
	r, err := http.NewRequestWithContext(ctx, a.method, fmt.Sprintf("http://127.0.0.1:%d%s", a.entry.ports[0], a.path), strings.NewReader(body))
	if err != nil {
		return
	}
	h := platform.Headers()
	r.Host = host
	r.Header.Set(h.RequestID, a.id)
	r.Header.Set(h.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	r.AddCookie(&http.Cookie{Name: h.Object, Value: a.path})
	// The transport must not send a request again by itself.
	r.GetBody = nil
	r.Header["Idempotency-Key"] = nil
	a.start, a.sent = a.entry.starts(), time.Now()
	resp, err := client.Do(r)
	a.done = time.Now()
	a.entry.mu.Lock()
	a.stopping = !a.entry.stopping.IsZero() && a.entry.start == a.start
	a.entry.mu.Unlock()
	if err != nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.status, a.body, a.sign = resp.StatusCode, string(data), resp.Header.Get(h.Signature)
	a.done = time.Now()
}
