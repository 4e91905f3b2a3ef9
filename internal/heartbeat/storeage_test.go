package heartbeat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/heartbeat"
	"github.com/shallotpier/shallotpier/internal/storecontact"
)

// Guards against entries that don't hear of the store's answers to others, and against a report
// read from heartbeats of older builds, which send none.
func TestStoreContact(t *testing.T) {
	report := &storecontact.Report{Origin: 5, AnsweredMs: 6, AgeMs: 1234, SentMs: 7890, Failing: true}
	tests := map[string]struct {
		sent    *storecontact.Report
		format1 bool
		want    *storecontact.Report
	}{
		"report":                  {report, false, report},
		"older build":             {nil, false, nil}, // the key is left out
		"older build of format 1": {report, true, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, other := newDetector(), newDetector()
			self := d.Self()
			self.StoreContact = tt.sent
			d.Self = func() heartbeat.Node { return self }
			other.Self = func() heartbeat.Node { return node(2, 1) }
			got := heartbeat.Update{StoreContact: &storecontact.Report{}}
			other.OnUpdate = func(_ time.Time, u heartbeat.Update) { got = u }
			datagrams, err := d.EncodeTwice(start)
			is.NoErr(err)
			data := datagrams[0]
			if tt.format1 {
				data, err = heartbeat.EncodeFormat1(data)
				is.NoErr(err)
			}
			is.NoErr(other.ReceiveDatagram(start, data))
			is.Equal(got.StoreContact, tt.want)
		})
	}
}
