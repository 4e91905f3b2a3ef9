package relayfeed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/packing"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// configuration returns a configuration of some routes, as operators write it.
func configuration(routes int) []byte {
	var b strings.Builder
	b.WriteString(`{"routes":{`)
	for range routes {
		fmt.Fprintf(&b, `"r-%x":{"host":"bale0.example","path_prefix":"/%x/","route_type":"idempotent","service":"vignette","timeout_ms":1500,"attempts":3,"allowed_regions":["sfax","marseille"]},`, rand.Uint32(), rand.Uint32())
	}
	b.WriteString(`"last":{}}}`)
	return []byte(b.String())
}

// Guards against large objects that are sent to each entry uncompressed: a leader's link carries
// them once for each entry that follows through it.
func TestLargeAnswersArePacked(t *testing.T) {
	large := configuration(4200)
	put := func(key string, r store.Revision, value []byte) store.Change {
		return store.Change{Object: store.Object{Key: key, Version: version(r), Value: value}}
	}
	tests := map[string]struct {
		changes  []store.Change
		accepts  bool // the asking entry knows packed answers
		packed   bool
		received int // number of changes that arrive
	}{
		"large":                         {[]store.Change{put("main", 12, large)}, true, true, 1},
		"large, superseded":             {[]store.Change{put("main", 12, large), put("other", 13, nil), put("main", 14, large)}, true, true, 2},
		"small":                         {[]store.Change{put("main", 12, large[:1000])}, true, false, 1},
		"large, to an entry of a build": {[]store.Change{put("main", 12, large)}, false, false, 1},
		"removal beside a large object": {[]store.Change{put("main", 12, large), {Object: store.Object{Key: "old", Version: version(13)}, Removed: true}}, true, true, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &Log{}
				log.RecordList(nil, version(10), follow.Origin{})
				log.RecordChanges(tt.changes, version(15), follow.Origin{Latest: version(14)})
				time.Sleep(settleTime)
				s := &Server{Logs: map[follow.Kind]*Log{follow.Configuration: log}, Serving: func() bool { return true }}
				question, err := json.Marshal(&request{Kind: follow.Configuration, After: version(10), Packed: tt.accepts})
				is.NoErr(err)
				result, err := s.handle(t.Context(), peer.Sender{}, question)
				is.NoErr(err)
				data, err := json.Marshal(result)
				is.NoErr(err)
				is.True(!tt.packed || len(data) < len(large)/4)
				var a answer
				is.NoErr(json.Unmarshal(data, &a))
				is.Equal(len(a.Packed) > 0, tt.packed)
				is.NoErr(a.unpack())
				is.Equal(len(a.Changes), tt.received)
				last := a.Changes[len(a.Changes)-1]
				want := tt.changes[len(tt.changes)-1]
				is.Equal(last.Object, want.Object)
				is.Equal(last.Removed, want.Removed)
			})
		})
	}
}

// A damaged answer must be an error, not an empty list.
func TestDamagedPackedAnswers(t *testing.T) {
	is := is.New(t)
	var p packer
	a := &answer{Changes: []change{{Object: store.Object{Key: "main", Version: version(12), Value: configuration(1000)}}}}
	p.apply(a, new(packing.Packer))
	is.True(len(a.Packed) > 0)
	for _, damaged := range [][]byte{a.Packed[:len(a.Packed)/2], append([]byte("x"), a.Packed...), []byte("{}")} {
		b := &answer{Packed: damaged}
		is.True(b.unpack() != nil)
		is.Equal(len(b.Changes), 0)
	}
}

// Guards against leaders on slow links that send a configuration to half of their zone: it takes
// longer than changes may take to be in force.
func TestLeadersOnSlowLinksAreNotAsked(t *testing.T) {
	tests := map[string]struct {
		links [2]float64
		want  []id.Instance // that are asked by some of the entries
	}{
		"equal":         {[2]float64{10, 10}, []id.Instance{"a", "b"}},
		"similar":       {[2]float64{10, 18}, []id.Instance{"a", "b"}},
		"second slower": {[2]float64{200, 10}, []id.Instance{"a"}},
		"first slower":  {[2]float64{10, 200}, []id.Instance{"b"}},
		"one unknown":   {[2]float64{0, 200}, []id.Instance{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			asked := map[id.Instance]bool{}
			for i := range 50 {
				s := &selector{self: id.Instance(fmt.Sprintf("e-%d", i)), maxSilence: time.Second, draw: func(time.Duration) time.Duration { return 0 }}
				now := time.Now()
				s.observe(now, []Leader{{Instance: "a", LinkMbps: tt.links[0]}, {Instance: "b", LinkMbps: tt.links[1]}})
				leader, _, ok := s.pick(now.Add(minStay))
				is.True(ok)
				asked[leader] = true
				// The other one is asked if this one fails.
				s.fail(now.Add(minStay), leader, false)
				other, _, ok := s.pick(now.Add(minStay))
				is.True(ok)
				is.True(other != leader)
			}
			is.Equal(len(asked), len(tt.want))
			for _, name := range tt.want {
				is.True(asked[name])
			}
		})
	}
}

// Guards against an answer that holds an earlier value: a store that was restored from an older
// copy may give a version out again, and one that sends no era doesn't tell so.
func TestPackedAnswersHoldTheirOwnValues(t *testing.T) {
	is := is.New(t)
	var p packer
	for range 2 {
		value := configuration(1000)
		a := &answer{Changes: []change{{Object: store.Object{Key: "main", Version: version(12), Value: value}}}}
		p.apply(a, new(packing.Packer))
		is.True(len(a.Packed) > 0)
		is.NoErr(a.unpack())
		is.Equal(string(a.Changes[0].Value), string(value))
	}
}
