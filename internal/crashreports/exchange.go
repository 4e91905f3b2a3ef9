package crashreports

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
	// MethodCompare sends the crash reports of an entry and returns those of the
	// receiver.
	MethodCompare = "sightings.compare"

	defaultPeriod = 10 * time.Second
	callTimeout   = 250 * time.Millisecond
	maxReports    = 1000
	maxSendID     = 128
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
	}

	// message is the parameter and the result of both methods.
	message struct {
		Reports []quarantine.CrashReport `json:"news"`
		// ForwardTo lists entries to which the receiver forwards the reports.
		ForwardTo []id.Instance `json:"tell,omitempty"`
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

// Run compares the list with those of other entries until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	period := x.Period
	if period == 0 {
		period = defaultPeriod
	}
	for {
		x.compareWithPeer(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(period/2 + time.Duration(x.Rand.Int64N(int64(period)))):
		}
	}
}

// compareWithPeer synchronises the list with that of one random entry.
func (x *Exchange) compareWithPeer(ctx context.Context) {
	others := x.Others()
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply message
	other := others[x.Rand.IntN(len(others))]
	own := message{Reports: x.List.Reports(time.Now(), maxReports)}
	if err := x.Peers.Call(ctx, other, MethodCompare, own, &reply); err == nil {
		x.apply(reply.Reports)
	}
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
	return message{Reports: x.List.Reports(time.Now(), maxReports)}, nil
}

func (x *Exchange) apply(reports []quarantine.CrashReport) {
	now := time.Now()
	for i := range reports {
		x.List.Apply(now, reports[i])
	}
}

func decode(params json.RawMessage) (*message, error) {
	m := new(message)
	if err := json.Unmarshal(params, m); err != nil {
		return nil, eris.Wrap(err, "decode sightings")
	}
	if len(m.Reports) > maxReports || len(m.ForwardTo) > maxReports {
		return nil, eris.Errorf("message has %d sightings and %d entries, want at most %d", len(m.Reports), len(m.ForwardTo), maxReports)
	}
	for i := range m.Reports {
		if r := &m.Reports[i]; r.At.IsZero() || r.Instance == "" || !r.Lifted && r.Send == "" || len(r.Send) > maxSendID {
			return nil, eris.Errorf("sighting %d lacks a field", i)
		}
	}
	return m, nil
}
