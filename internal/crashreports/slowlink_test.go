package crashreports_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/crashreports"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/peer/rpc"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// uplink is a link of a limited rate that several connections share.
	uplink struct {
		rate int // bytes a second

		mu   sync.Mutex
		free time.Time // end of the latest packet
	}

	// uplinkConn writes over an uplink.
	uplinkConn struct {
		net.Conn
		link *uplink
	}
)

// pass waits until a packet has been sent.
func (u *uplink) pass(size int) {
	u.mu.Lock()
	if now := time.Now(); u.free.Before(now) {
		u.free = now
	}
	u.free = u.free.Add(time.Duration(size) * time.Second / time.Duration(u.rate))
	free := u.free
	u.mu.Unlock()
	time.Sleep(time.Until(free))
}

func (c uplinkConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(written+1000, len(p))]
		c.link.pass(len(part))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// fill records crashes of as many requests as entries exchange.
func fill(l *quarantine.List) {
	for n := range quarantine.MaxExchanged {
		l.RecordCrash(time.Now(), quarantine.Fingerprint{byte(n >> 8), byte(n)}, quarantine.Origin{
			Service: "registry", Class: "lookup", Send: fmt.Sprintf("%s-1-%d", l.Instance, n),
			Server: id.Server(fmt.Sprintf("registry-marseille-%d", n%8)), Incarnation: 1, Began: time.Now(),
		})
	}
}

// An entry whose link has 10 Mbit/s must get its crash reports to entries that can't call it,
// also if it pulls from several at once: a limit for the whole call makes all of them fail, and
// each heartbeat begin them anew.
func TestManyReportsPassSlowLinks(t *testing.T) {
	for _, others := range []int{1, 8} {
		t.Run(fmt.Sprintf("%d others", others), func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithCancel(t.Context())
				nodes, lists := map[id.Instance]*rpc.Node{}, map[id.Instance]*quarantine.List{}
				for i := range others {
					name := id.Instance(fmt.Sprintf("front-tunis-lac-%d", i))
					nodes[name] = &rpc.Node{Self: peer.Sender{Instance: name, Incarnation: 1}}
					lists[name] = &quarantine.List{Instance: name, Tolerated: 2}
					(&crashreports.Exchange{List: lists[name], Peers: nodes[name]}).Register(nodes[name])
				}
				link := &uplink{rate: 10_000_000 / 8}
				a := &rpc.Node{Self: peer.Sender{Instance: "front-marseille-joliette-10", Incarnation: 1}}
				a.Dial = func(_ context.Context, to id.Instance) (net.Conn, error) {
					near, far := net.Pipe()
					go nodes[to].ServeConn(ctx, far)
					return uplinkConn{near, link}, nil
				}
				x := &crashreports.Exchange{List: &quarantine.List{Instance: a.Self.Instance, Tolerated: 2}, Peers: a}
				fill(x.List)
				for range 20 { // heartbeats
					for name, l := range lists {
						x.Compare(name, l.Digest(time.Now()))
					}
					time.Sleep(500 * time.Millisecond)
				}
				complete := 0
				for _, l := range lists {
					if l.Size() == quarantine.MaxExchanged {
						complete++
					}
				}
				a.Close()
				for _, n := range nodes {
					n.Close()
				}
				stop()
				time.Sleep(20 * time.Second) // ends calls and writes
				is.Equal(complete, others)
			})
		})
	}
}
