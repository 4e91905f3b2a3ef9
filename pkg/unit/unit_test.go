package unit_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/unit"
)

func TestBytesText(t *testing.T) {
	tests := map[string]struct {
		give string
		want unit.Bytes
		text string
		ok   bool
	}{
		"bare number":  {give: "512", want: 512, text: "512B", ok: true},
		"kibibytes":    {give: "64KiB", want: 64 * unit.KiB, text: "64KiB", ok: true},
		"larger unit":  {give: "1024MiB", want: unit.GiB, text: "1GiB", ok: true},
		"negative":     {give: "-1KiB"},
		"fraction":     {give: "1.5MiB"},
		"out of range": {give: "9223372036854775807GiB"},
		"no number":    {give: "KiB"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b unit.Bytes
			err := b.UnmarshalText([]byte(tt.give))
			is.Equal(err == nil, tt.ok)
			if !tt.ok {
				return
			}
			is.Equal(b, tt.want)
			text, err := b.MarshalText()
			is.NoErr(err)
			is.Equal(string(text), tt.text)
		})
	}
}

func TestBitRateText(t *testing.T) {
	tests := map[string]struct {
		give string
		want unit.BitRate
		ok   bool
	}{
		"gigabits":     {give: "4Gbit/s", want: 4 * unit.Gbit, ok: true},
		"megabits":     {give: "300Mbit/s", want: 300 * unit.Mbit, ok: true},
		"missing unit": {give: "300"},
		"byte unit":    {give: "300MB/s"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r unit.BitRate
			err := r.UnmarshalText([]byte(tt.give))
			is.Equal(err == nil, tt.ok)
			is.Equal(r, tt.want)
		})
	}
}

func TestDurationText(t *testing.T) {
	tests := map[string]struct {
		give string
		ok   bool
	}{
		"minutes":      {give: "1m30s", ok: true},
		"negative":     {give: "-1s"},
		"missing unit": {give: "30"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d unit.Duration
			is.Equal(d.UnmarshalText([]byte(tt.give)) == nil, tt.ok)
		})
	}
}
