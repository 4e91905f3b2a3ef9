package capacity

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/slots/ledger"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	bucketServers = 10
	bucketHolders = 7
	reportRounds  = 20
)

// slotMeasures returns the measures of the home entry of a bucket of backend
// servers, which divides the slots of the bucket among the holders.
func slotMeasures() []Measure {
	holders := []int{7, 20, 40, 80, zonePeers}
	return []Measure{
		{
			Role: "home", Quantity: quantityAnswer, Size: "holders",
			Sizes: holders, Target: zonePeers,
			Run: func(n int) (float64, error) { return reportCost(n, bucketServers) },
		},
		{
			Role: "home", Quantity: quantityAnswer, Size: "servers in the bucket",
			Sizes: []int{2, 5, 10, 20, 40}, Target: 53,
			Run: func(n int) (float64, error) { return reportCost(bucketHolders, n) },
		},
		{
			Role: "home", Quantity: quantityReport, Size: "servers in the bucket",
			Sizes: []int{2, 5, 10, 20, 40}, Target: 53,
			Run: func(n int) (float64, error) {
				b := newBucket(bucketHolders, n)
				report, err := json.Marshal(b.report(0))
				if err != nil {
					return 0, err
				}
				grant, err := b.answer(0)
				return float64(len(report) + len(grant)), err
			},
		},
		{
			Role: "home", Quantity: "ledger heap B", Size: "holders", Sizes: holders, Target: zonePeers,
			Run: func(n int) (float64, error) {
				var failed error
				size := heapBytes(func() any {
					b := newBucket(n, bucketServers)
					failed = b.answerAll()
					return b
				})
				return size, failed
			},
		},
	}
}

func reportCost(holders, servers int) (float64, error) {
	b := newBucket(holders, servers)
	if err := b.answerAll(); err != nil {
		return 0, err
	}
	var failed error
	cost, err := processorMicros(reportRounds*holders, func(i int) {
		if _, err := b.answer(i % holders); err != nil {
			failed = err
		}
	})
	if failed != nil {
		return 0, failed
	}
	return cost, err
}

// bucket is a ledger with the state of its holders.
type bucket struct {
	ledger  ledger.Ledger
	holders []holder
}

type holder struct {
	sender peer.Sender
	seq    uint64
	seen   map[id.Server]uint64
}

func newBucket(holders, servers int) *bucket {
	b := &bucket{ledger: ledger.Ledger{
		Bucket: wire.Bucket{Service: "registry", Zone: "fyn-1"}, Lifetime: 2 * time.Second, MaxRequestTime: time.Minute, ReportTimeout: time.Second,
	}}
	var slots []ledger.Slots
	for i := range servers {
		slots = append(slots, ledger.Slots{Server: id.Server("registry-" + strconv.Itoa(i)), Slots: 6 * holders, Ceiling: 400})
	}
	b.ledger.SetAuthority(time.Hour)
	b.ledger.Configure(slots, 0)
	b.ledger.Begin(1, 0)
	for i := range holders {
		h := holder{sender: peer.Sender{Instance: id.Instance("entry-" + strconv.Itoa(i)), Incarnation: 1}, seen: map[id.Server]uint64{}}
		for _, s := range slots {
			h.seen[s.Server] = 0
		}
		b.holders = append(b.holders, h)
	}
	return b
}

// answerAll answers one report from each holder.
func (b *bucket) answerAll() error {
	for i := range b.holders {
		if _, err := b.answer(i); err != nil {
			return err
		}
	}
	return nil
}

func (b *bucket) report(i int) wire.Report {
	h := &b.holders[i]
	h.seq++
	r := wire.Report{Bucket: b.ledger.Bucket, Term: b.ledger.Term(), Seq: h.seq, Want: 3}
	for server, seen := range h.seen {
		r.Servers = append(r.Servers, wire.Held{Server: server, Seen: seen, Used: int(seen)})
	}
	return r
}

// answer processes one report as the home entry does, including encoding and
// decoding, and returns the encoded grant.
func (b *bucket) answer(i int) ([]byte, error) {
	data, err := json.Marshal(b.report(i))
	if err != nil {
		return nil, err
	}
	var r wire.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	g, err := b.ledger.Report(b.holders[i].sender, &r, time.Second)
	if err != nil {
		return nil, err
	}
	for _, s := range g.Servers {
		b.holders[i].seen[s.Server] = s.Given
	}
	return json.Marshal(g)
}
