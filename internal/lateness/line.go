package lateness

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/logread"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// FromLine returns the request whose outcome a line is about, and false if it is about
// something else. Names are copied, so that the line can be freed.
func FromLine(l *logread.Line) (Request, bool) {
	if l.Message != "request" {
		return Request{}, false
	}
	f := fields{l}
	r := Request{
		At: l.At, Took: f.duration("took"), Objective: f.duration("objective"), Kind: service.Kind(strings.Clone(l.Field("kind"))),
		Served: result.Code(f.int("code")) == result.Served, Relayed: l.Field("relayed") == "true", PassedOn: l.Field("relay") != "",
		Server: id.Server(strings.Clone(l.Field("server"))), Zone: id.Zone(strings.Clone(l.Field("zone"))), Crossing: l.Field("crossing") != "",
		Busy: f.float("busy"), Slots: f.int("slots"), Pace: f.float("pace"), Sends: f.int("sends"), Unconnected: f.int("unconnected"),
		Waited: f.duration("waited"), Resending: f.duration("resending"), Connect: f.duration("connect"),
	}
	if l.Field("waited") == "" {
		r.Waited = f.duration("quotaWait")
	}
	if key, err := strconv.ParseUint(l.Field("object"), 16, 64); err == nil {
		// The key of a request that names no object is the hash of its id.
		r.Object, r.NamesObject = Object(key), key != xxhash.Sum64String(l.Field("request"))
	}
	return r, r.Took > 0
}

// fields reads values that may be missing or malformed, in place of which it returns 0.
type fields struct{ line *logread.Line }

func (f fields) int(key string) int {
	n, _ := strconv.Atoi(f.line.Field(key))
	return n
}

func (f fields) float(key string) float64 {
	n, _ := strconv.ParseFloat(f.line.Field(key), 64)
	return n
}

func (f fields) duration(key string) time.Duration {
	d, _ := time.ParseDuration(f.line.Field(key))
	return max(d, 0)
}
