package wire_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/slots/wire"
)

func TestReportDecodeValidates(t *testing.T) {
	tests := map[string]struct {
		give string
		ok   bool
	}{
		"complete":           {give: `{"service":"registry","zone":"z-1","term":3,"seq":1,"servers":[{"server":"a","claimed":2,"seen":3,"returned":5,"used":1}]}`, ok: true},
		"no bucket":          {give: `{"seq":1}`},
		"no sequence number": {give: `{"service":"registry","zone":"z-1"}`},
		"negative want":      {give: `{"service":"registry","zone":"z-1","seq":1,"want":-1}`},
		"bad name":           {give: `{"service":"Registry","zone":"z-1","seq":1}`},
		"server twice":       {give: `{"service":"registry","zone":"z-1","seq":1,"servers":[{"server":"a"},{"server":"a"}]}`},
		"negative claim":     {give: `{"service":"registry","zone":"z-1","seq":1,"servers":[{"server":"a","claimed":-1}]}`},
		"returned too many":  {give: `{"service":"registry","zone":"z-1","seq":1,"servers":[{"server":"a","claimed":2,"seen":3,"returned":6}]}`},
		"count too large":    {give: `{"service":"registry","zone":"z-1","seq":1,"servers":[{"server":"a","seen":18446744073709551615}]}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r wire.Report
			is.Equal(json.Unmarshal([]byte(tt.give), &r) == nil, tt.ok)
		})
	}
}

func TestGrantDecodeValidates(t *testing.T) {
	tests := map[string]struct {
		give string
		ok   bool
	}{
		"complete":        {give: `{"service":"registry","zone":"z-1","term":3,"servers":[{"server":"a","accepted":2,"given":3}]}`, ok: true},
		"no bucket":       {give: `{"term":1}`},
		"no term":         {give: `{"service":"registry","zone":"z-1"}`},
		"negative recall": {give: `{"service":"registry","zone":"z-1","term":1,"recall":-1}`},
		"server twice":    {give: `{"service":"registry","zone":"z-1","term":1,"servers":[{"server":"a"},{"server":"a"}]}`},
		"count too large": {give: `{"service":"registry","zone":"z-1","term":1,"servers":[{"server":"a","accepted":1073741825}]}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g wire.Grant
			is.Equal(json.Unmarshal([]byte(tt.give), &g) == nil, tt.ok)
		})
	}
}
