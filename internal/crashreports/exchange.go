package crashreports

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Methods between entries.
const (
	// MethodReport sends crash reports to an entry.
	MethodReport = "sightings.tell"
	// MethodCompare sends which crash reports an entry has. It returns the others that
	// the receiver has, and which that are.
	MethodCompare = "sightings.compare"

	defaultPeriod = 10 * time.Second
	callTimeout   = 250 * time.Millisecond
	// pullTimeout bounds one pull: several round trips between regions, and the time
	// to send some hundred kilobytes over a slow link.
	pullTimeout = time.Second
	// maxPulls is the maximum number of concurrent pulls.
	maxPulls  = 8
	maxSendID = 128
)

type (
	// Exchange keeps the list of this entry in sync with those of the other
	// entries. Its fields must not change after the first call. It is safe for
	// concurrent use.
	Exchange struct {
		// List is the quarantine list of this entry.
		List *quarantine.List
		// Peers calls the other entries.
		Peers peer.Caller
		// Others returns the other entries.
		Others func() []id.Instance
		// Period is the average time between comparisons; 0 means 10 s.
		Period time.Duration
		// Rand jitters the period and chooses the entry to compare with. It is
		// used by Run alone.
		Rand *rand.Rand
		// OnReport, if not nil, is called with each report of another entry that
		// changed the list.
		OnReport func(now time.Time, report *quarantine.CrashReport)

		mu sync.Mutex
		// pulling holds the entries from which a pull is in progress.
		pulling map[id.Instance]bool
		// pulled holds the digests of the latest successful pull from each entry.
		pulled map[id.Instance]digests
	}

	// digests are those of another entry's list and of this one.
	digests struct{ theirs, ours quarantine.Digest }

	// message is the parameter and the result of both methods.
	message struct {
		Reports []quarantine.CrashReport `json:"news"`
		// ForwardTo lists entries to which the receiver forwards the reports.
		ForwardTo []id.Instance `json:"tell,omitempty"`
		// Known identifies the reports that the sender has.
		Known []quarantine.ReportID `json:"known,omitempty"`
	}

	registrar interface {
		Register(method string, handler peer.Handler)
	}
)

// Register registers the handlers of MethodReport and MethodCompare.
func (x *Exchange) Register(r registrar) {
	r.Register(MethodReport, x.handleReport)
	r.Register(MethodCompare, x.handleCompare)
}

// Broadcast sends a report to all other entries. It returns once each of them has
// confirmed it or could not be reached, or when ctx ends.
func (x *Exchange) Broadcast(ctx context.Context, report quarantine.CrashReport) {
	peer.Broadcast(ctx, x.Peers, callTimeout, x.Others(), MethodReport, func(forwardTo []id.Instance) any {
		return message{Reports: []quarantine.CrashReport{report}, ForwardTo: forwardTo}
	})
}

// Run pulls missing reports from a random entry once a period until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	period := x.Period
	if period == 0 {
		period = defaultPeriod
	}
	for {
		if others := x.Others(); len(others) > 0 {
			// Entries that can't be reached are left to a later period.
			_ = x.pull(ctx, others[x.Rand.IntN(len(others))])
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period/2 + time.Duration(x.Rand.Int64N(int64(period)))):
		}
	}
}

// Compare begins to pull what this entry lacks of another one's reports, unless its
// digest is that of this list, or nothing has changed since the last pull. The digest 0
// is that of an entry that sends none.
func (x *Exchange) Compare(other id.Instance, digest quarantine.Digest) {
	now := digests{digest, x.List.Digest(time.Now())}
	if digest == 0 || now.theirs == now.ours {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.pulled[other] == now || x.pulling[other] || len(x.pulling) >= maxPulls {
		return
	}
	if x.pulling == nil {
		x.pulling, x.pulled = make(map[id.Instance]bool), make(map[id.Instance]digests)
	}
	x.pulling[other] = true
	go func() {
		// After a failure, the next digest from the entry causes another try.
		err := x.pull(context.Background(), other)
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.pulling, other)
		if err == nil {
			x.pulled[other] = digests{digest, x.List.Digest(time.Now())}
		}
	}()
}

// pull requests from another entry the reports that this one lacks, and sends it those
// that it lacks itself, as it may not be able to call this one.
func (x *Exchange) pull(ctx context.Context, other id.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply message
	if err := x.Peers.Call(ctx, other, MethodCompare, message{Known: x.List.ReportIDs(time.Now())}, &reply); err != nil {
		return err
	}
	if err := reply.check(); err != nil {
		return err
	}
	x.apply(reply.Reports)
	if missing := x.List.Missing(time.Now(), reply.Known, quarantine.MaxExchanged); len(missing) > 0 {
		return x.Peers.Call(ctx, other, MethodReport, message{Reports: missing}, nil)
	}
	return nil
}

func (x *Exchange) handleReport(ctx context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := decode(params)
	if err != nil {
		return nil, err
	}
	x.apply(m.Reports)
	peer.SendAll(ctx, x.Peers, callTimeout, m.ForwardTo, MethodReport, message{Reports: m.Reports})
	return message{}, nil
}

func (x *Exchange) handleCompare(_ context.Context, _ peer.Sender, params json.RawMessage) (any, error) {
	m, err := decode(params)
	if err != nil {
		return nil, err
	}
	x.apply(m.Reports)
	now := time.Now()
	return message{Reports: x.List.Missing(now, m.Known, quarantine.MaxExchanged), Known: x.List.ReportIDs(now)}, nil
}

func (x *Exchange) apply(reports []quarantine.CrashReport) {
	now := time.Now()
	for i := range reports {
		if x.List.Apply(now, reports[i]) && x.OnReport != nil {
			x.OnReport(now, &reports[i])
		}
	}
}

func decode(params json.RawMessage) (*message, error) {
	m := new(message)
	if err := json.Unmarshal(params, m); err != nil {
		return nil, eris.Wrap(err, "decode sightings")
	}
	return m, m.check()
}

func (m *message) check() error {
	if len(m.Reports) > quarantine.MaxExchanged || len(m.ForwardTo) > quarantine.MaxExchanged || len(m.Known) > quarantine.MaxExchanged {
		return eris.Errorf("message has %d sightings, %d entries and %d known sightings, want at most %d",
			len(m.Reports), len(m.ForwardTo), len(m.Known), quarantine.MaxExchanged)
	}
	for i := range m.Reports {
		if r := &m.Reports[i]; r.At.IsZero() || r.Instance == "" || !r.Lifted && r.Send == "" || len(r.Send) > maxSendID {
			return eris.Errorf("sighting %d lacks a field", i)
		}
	}
	return nil
}
