package loads_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/loads"
	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestUsesJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	uses := loads.Uses{
		{Service: "registry", Region: "fyn", Slots: 12}, {Service: "registry", Region: "fyn", Slots: 3},
		{Service: "registry", Region: "jylland", Slots: 4}, {Service: "reports", Region: "fyn"},
	}
	data, err := json.Marshal(uses)
	is.NoErr(err)
	is.Equal(string(data), `{"registry":{"fyn":15,"jylland":4}}`)

	// A Table computes the same loads from the original and the decoded uses.
	var decodedUses loads.Uses
	is.NoErr(json.Unmarshal(data, &decodedUses))
	now := time.Now()
	var direct, decoded loads.Table
	direct.Update("entry-1", now, uses)
	decoded.Update("entry-1", now, decodedUses)
	for _, region := range []id.Region{"fyn", "jylland", "sjaelland"} {
		for _, service := range []id.Service{"registry", "reports"} {
			want, _ := direct.Region(service, region, 30, []id.Instance{"entry-1"}).Read(now, time.Hour)
			got, _ := decoded.Region(service, region, 30, []id.Instance{"entry-1"}).Read(now, time.Hour)
			is.Equal(got, want)
		}
	}
	for _, bad := range []string{`[]`, `{"registry":3}`, `{"":{"fyn":1}}`, `{"registry":{"fyn":"x"}}`} {
		is.True(json.Unmarshal([]byte(bad), new(loads.Uses)) != nil)
	}
}
