package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	// aheadPercent is the share of a caller's turns in which it sends several reads ahead
	// on one connection.
	aheadPercent = 10
	// maxAhead is the greatest number of these reads.
	maxAhead = 8
)

// sendAhead sends several reads on one connection without waiting for answers, and records
// the attempts. It may read slowly, or leave before it has read all answers.
func (s *soak) sendAhead(ctx context.Context, rng *rand.Rand, name string, entry *process) {
	attempts := make([]*attempt, 2+rng.IntN(maxAhead-1))
	var stream strings.Builder
	for i := range attempts {
		a := &attempt{id: fmt.Sprintf("%s-%d", name, i), method: http.MethodGet, path: fmt.Sprintf("/read/%d", rng.IntN(objectCount)), entry: entry}
		a.digest = digestOf(a.payload)
		s.organisations.assign(a, s.currentVersion())
		attempts[i] = a
		h := platform.Headers()
		fmt.Fprintf(&stream, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nCookie: %s=%s\r\n",
			a.path, host, h.RequestID, a.id, h.Deadline, requestDeadline.Milliseconds(), h.Object, a.path)
		for _, field := range a.headers {
			fmt.Fprintf(&stream, "%s: %s\r\n", field[0], field[1])
		}
		stream.WriteString("\r\n")
	}
	slow, leave := time.Duration(rng.IntN(3))*20*time.Millisecond, len(attempts)
	if rng.IntN(4) == 0 {
		leave = rng.IntN(len(attempts))
	}
	s.exchangeAhead(ctx, attempts, stream.String(), slow, leave)
	for i, a := range attempts {
		a.interrupted = a.status == 0 && (i >= leave || ctx.Err() != nil)
		s.callers.add(a)
	}
}

// exchangeAhead sends a stream of requests and reads their answers, until it leaves.
func (s *soak) exchangeAhead(ctx context.Context, attempts []*attempt, stream string, slow time.Duration, leave int) {
	entry, now := attempts[0].entry, time.Now()
	started := entry.currentStartCount()
	for _, a := range attempts {
		a.startCount, a.sent, a.done = started, now, now
	}
	defer func() {
		for _, a := range attempts {
			a.duringShutdown = entry.stopping(started)
		}
	}()
	c, err := net.DialTimeout("tcp", entry.address(0), requestDeadline)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(now.Add(requestDeadline))
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if _, err := io.WriteString(c, stream); err != nil {
		return
	}
	read, h := bufio.NewReader(c), platform.Headers()
	for i, a := range attempts {
		if i >= leave {
			return
		}
		sleep(ctx, slow)
		resp, err := http.ReadResponse(read, nil)
		for _, unread := range attempts[i:] {
			unread.done = time.Now()
		}
		if err != nil {
			return
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return
		}
		a.status, a.body, a.signature = resp.StatusCode, string(data), resp.Header.Get(h.Signature)
		a.limited, a.leaving = resp.Header.Get(standin.LimitHeader) != "", resp.Header.Get(standin.LeavingHeader) != ""
		if resp.Close {
			return // what was sent behind this answer counts as not read
		}
	}
}
