package store_test

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/store"
)

// A version of era 0 must stay a plain number, which programs without eras understand.
func TestVersionForms(t *testing.T) {
	tests := map[string]struct {
		version store.Version
		text    string
		json    string
		cbor    any
	}{
		"zero":      {store.Version{}, "0", "0", uint64(0)},
		"first era": {store.Version{Revision: 1200}, "1200", "1200", uint64(1200)},
		"later era": {store.Version{Era: 2, Revision: 1200}, "2:1200", `"2:1200"`, "2:1200"},
		"limits":    {store.Version{Era: 1<<64 - 1, Revision: 1<<64 - 1}, "18446744073709551615:18446744073709551615", `"18446744073709551615:18446744073709551615"`, "18446744073709551615:18446744073709551615"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := tt.version.MarshalText()
			is.NoErr(err)
			is.Equal(string(text), tt.text)
			is.Equal(tt.version.String(), tt.text)
			var decoded store.Version
			is.NoErr(decoded.UnmarshalText(text))
			is.Equal(decoded, tt.version)
			data, err := json.Marshal(tt.version)
			is.NoErr(err)
			is.Equal(string(data), tt.json)
			decoded = store.Version{Era: 7, Revision: 7}
			is.NoErr(json.Unmarshal(data, &decoded))
			is.Equal(decoded, tt.version)
			data, err = cbor.Marshal(tt.version)
			is.NoErr(err)
			var plain any
			is.NoErr(cbor.Unmarshal(data, &plain))
			is.Equal(plain, tt.cbor)
			decoded = store.Version{Era: 7, Revision: 7}
			is.NoErr(cbor.Unmarshal(data, &decoded))
			is.Equal(decoded, tt.version)
		})
	}
}

// A version that can't be decoded must be reported and must not become a lower one.
func TestInvalidVersions(t *testing.T) {
	tests := map[string]string{
		"empty": "", "no era": ":7", "no revision": "2:", "negative": "-1", "negative era": "-1:7", "three parts": "1:2:3",
		"text": "later", "too large": "18446744073709551616",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			kept := store.Version{Era: 7, Revision: 7}
			v := kept
			is.True(v.UnmarshalText([]byte(text)) != nil)
			quoted, err := json.Marshal(text)
			is.NoErr(err)
			is.True(json.Unmarshal(quoted, &v) != nil)
			data, err := cbor.Marshal(text)
			is.NoErr(err)
			is.True(cbor.Unmarshal(data, &v) != nil)
			is.True(json.Unmarshal([]byte("1.5"), &v) != nil)
			is.True(json.Unmarshal([]byte("-1"), &v) != nil)
			is.Equal(v, kept)
		})
	}
}

// A version of a later era must never be taken for an earlier one because its revision
// is lower.
func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	is := is.New(t)
	ordered := []store.Version{{}, {Revision: 1}, {Revision: 900}, {Era: 1}, {Era: 1, Revision: 5}, {Era: 1, Revision: 901}, {Era: 2, Revision: 3}}
	for i, v := range ordered {
		for j, other := range ordered {
			is.Equal(v.Compare(other) < 0, i < j)
			is.Equal(v.Before(other), i < j)
			is.Equal(v.Compare(other) == 0, i == j)
			is.Equal(store.Latest(v, other), ordered[max(i, j)])
		}
		is.Equal(v.IsZero(), i == 0)
	}
}
