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
	requestDeadline = 2 * time.Second
	// requestInterval is the pause of a caller between two requests.
	requestInterval = 15 * time.Millisecond
	// lookupTTL is the time for which a caller caches the answer of a directory.
	lookupTTL   = time.Second
	objectCount = 40
	// frequentCount is the number of objects of half of the reads.
	frequentCount = 5
	maxBodySize   = 40_000
)

type (
	// attempt is one request of a caller and its result.
	attempt struct {
		id             string
		method         string
		path           string
		payload        string
		chunked        bool // the body is sent in chunks
		crashing       bool // the request crashes the servers that run it
		digest         string
		version        int // requested by a version probe; 0 for other requests
		entry          *process
		startCount     int // the entry's start count at the time of sending
		sent           time.Time
		done           time.Time
		status         int // 0 without a complete answer
		body           string
		signature      string
		limited        bool // the answer names a limit of the server
		leaving        bool // the answer says that the server is leaving
		duringShutdown bool // a graceful shutdown of the entry was in progress
		interrupted    bool // by the end of the run, so that there is no result
		identity
	}

	// callers sends requests and records the attempts.
	callers struct {
		mu       sync.Mutex
		attempts []*attempt
	}
)

// run sends the requests of caller n until ctx ends.
func (c *callers) run(ctx context.Context, s *soak, n int) {
	rng := rand.New(rand.NewPCG(s.options.Seed, firstCallerStream+uint64(n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: requestDeadline}
	defer client.CloseIdleConnections()
	var (
		entries []*process
		expiry  time.Time
	)
	ahead := rand.New(rand.NewPCG(s.options.Seed, firstAheadStream+uint64(n)))
	for i := 0; ctx.Err() == nil; i++ {
		if time.Now().After(expiry) || len(entries) == 0 {
			entries, expiry = s.lookup(client, n), time.Now().Add(lookupTTL)
		}
		if len(entries) == 0 {
			sleep(ctx, requestInterval)
			continue
		}
		if ahead.IntN(100) < aheadPercent {
			s.sendAhead(ctx, ahead, fmt.Sprintf("a%d-%d", n, i), entries[ahead.IntN(len(entries))])
			sleep(ctx, requestInterval)
			continue
		}
		a := s.newAttempt(rng, fmt.Sprintf("c%d-%d", n, i))
		a.entry = entries[rng.IntN(len(entries))]
		s.organisations.assign(a, s.currentVersion())
		s.send(ctx, client, a)
		a.interrupted = ctx.Err() != nil && a.status == 0
		c.add(a)
		if a.status == 0 {
			expiry = time.Time{}
		}
		sleep(ctx, requestInterval)
	}
}

// add records an attempt.
func (c *callers) add(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// lookup asks the directories of the entries in turn, beginning with entry n, and
// returns the entries in the first answer.
func (s *soak) lookup(client *http.Client, n int) []*process {
	for k := range s.entries {
		at := s.entries[(n+k)%len(s.entries)]
		addresses, err := standin.Lookup(client, at.address(2), host, zone(n), region(n))
		if err != nil {
			continue // try the next entry
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

// newAttempt returns a random request: a read, a write, or a probe of the current
// or the previous configuration version.
func (s *soak) newAttempt(rng *rand.Rand, name string) *attempt {
	object := rng.IntN(objectCount)
	switch draw := rng.IntN(100); {
	case draw < 25:
		return &attempt{id: name, method: http.MethodGet, path: fmt.Sprintf("/read/%d?q=%%20%d", object, draw)}
	case draw < 50:
		return &attempt{id: name, method: http.MethodGet, path: fmt.Sprintf("/read/%d", object%frequentCount)}
	case draw < 85:
		body := strings.Repeat(name+" ", 1+rng.IntN(maxBodySize)/len(name))
		return &attempt{id: name, method: http.MethodPost, path: fmt.Sprintf("/write/%d", object), payload: body}
	default:
		v := max(s.currentVersion()-rng.IntN(2), 1)
		return &attempt{id: name, method: http.MethodGet, path: fmt.Sprintf("/version/%d/x", v), version: v}
	}
}

// send sends the request and records the result in a.
func (s *soak) send(ctx context.Context, client *http.Client, a *attempt) {
	a.digest = digestOf(a.payload)
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+a.entry.address(0)+a.path, strings.NewReader(a.payload))
	if err != nil {
		return
	}
	if a.chunked {
		r.ContentLength = -1
	}
	h := platform.Headers()
	r.Host = host
	r.Header.Set(h.RequestID, a.id)
	r.Header.Set(h.Deadline, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	r.AddCookie(&http.Cookie{Name: h.Object, Value: a.path})
	a.addHeaders(r.Header)
	// The transport must not retry requests by itself.
	r.GetBody = nil
	r.Header["Idempotency-Key"] = nil
	a.startCount, a.sent = a.entry.currentStartCount(), time.Now()
	resp, err := client.Do(r)
	a.done = time.Now()
	a.duringShutdown = a.entry.stopping(a.startCount)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.status, a.body, a.signature = resp.StatusCode, string(data), resp.Header.Get(h.Signature)
	a.limited, a.leaving = resp.Header.Get(standin.LimitHeader) != "", resp.Header.Get(standin.LeavingHeader) != ""
	a.done = time.Now()
}

// digestOf returns the digest of a body as the servers record it.
func digestOf(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}

// currentVersion returns the version of the newest configuration.
func (s *soak) currentVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
