package id_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/id"
)

func TestZoneUnmarshalTextValidatesName(t *testing.T) {
	tests := map[string]struct {
		give string
		ok   bool
	}{
		"valid name":      {give: "tbilisi-core-1", ok: true},
		"one character":   {give: "a", ok: true},
		"longest":         {give: strings.Repeat("a", 63), ok: true},
		"empty":           {give: ""},
		"too long":        {give: strings.Repeat("a", 64)},
		"upper case":      {give: "Fyn"},
		"leading hyphen":  {give: "-a"},
		"trailing hyphen": {give: "a-"},
		"slash":           {give: "a/b"},
		"line feed":       {give: "a\nb"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var z id.Zone
			err := z.UnmarshalText([]byte(tt.give))
			is.Equal(err == nil, tt.ok)
			if tt.ok {
				is.Equal(string(z), tt.give)
			} else {
				is.Equal(z, id.Zone(""))
			}
		})
	}
}
