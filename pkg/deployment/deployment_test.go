package deployment_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

func TestExamplesHaveExpectedSizes(t *testing.T) {
	type servers struct{ count, slots int }
	tests := map[string]struct {
		link     unit.BitRate
		zones    time.Duration
		regions  time.Duration
		clients  time.Duration
		services map[string]servers
	}{
		"beridze": {
			link: 4 * unit.Gbit, zones: 1500 * time.Microsecond, regions: 12 * time.Millisecond, clients: 8 * time.Millisecond,
			services: map[string]servers{"registry": {30, 6}, "evidence": {12, 3}},
		},
		"dansk": {
			link: 300 * unit.Mbit, zones: time.Millisecond, regions: 20 * time.Millisecond, clients: time.Millisecond,
			services: map[string]servers{"register": {30, 7}, "reports": {12, 3}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := "../../examples/" + name
			data, err := os.ReadFile(dir + "/deployment.toml")
			is.NoErr(err)
			d, err := deployment.Parse("deployment.toml", data)
			is.NoErr(err)
			is.Equal(len(d.Regions), 3)
			is.Equal(len(d.Links), 3)
			is.Equal(len(d.Entries), 7)
			is.Equal(d.Links[0].Capacity, tt.link)
			is.Equal(d.Delays.Zones.Std(), tt.zones)
			is.Equal(d.Delays.Regions.Std(), tt.regions)
			is.Equal(d.Delays.Clients.Std(), tt.clients)
			for s, want := range tt.services {
				data, err := os.ReadFile(dir + "/services/" + s + ".service.toml")
				is.NoErr(err)
				f, err := service.Parse(s, data)
				is.NoErr(err)
				is.Equal(len(f.Servers), want.count)
				for _, server := range f.Servers {
					is.Equal(server.Slots, want.slots)
					is.Equal(server.Connections, 400)
					_, known := d.Region(server.Zone)
					is.True(known)
				}
			}
		})
	}
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../examples/beridze/deployment.toml")
	is.NoErr(err)
	d, err := deployment.Parse("deployment.toml", data)
	is.NoErr(err)
	is.Equal(d.Delay("east-kakheti-1", "east-kakheti-1"), time.Duration(0))
	is.Equal(d.Delay("east-kakheti-1", "east-kakheti-2"), 1500*time.Microsecond)
	is.Equal(d.Delay("east-kakheti-1", "tbilisi-core-2"), 12*time.Millisecond)
	is.True(d.Link("tbilisi-core", "east-kakheti") != nil)
	is.True(d.Link("east-kakheti", "east-kakheti") == nil)
}

func TestParseReportsLineKeyAndCode(t *testing.T) {
	data, err := os.ReadFile("../../examples/beridze/deployment.toml")
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		old, new string
		line     int
		key      string
		code     result.Code
	}{
		"unknown key":          {old: "storeRegion", new: "storeregion2", line: 2, key: "storeregion2", code: result.UnknownKey},
		"unknown link region":  {old: `["east-kakheti", "tbilisi-core"]`, new: `["east-kakheti", "kutaisi"]`, line: 27, key: "links.between", code: result.ImpossibleValue},
		"duplicate zone":       {old: `"west-imereti-2"]`, new: `"west-imereti-1"]`, line: 15, key: "regions.zones", code: result.ImpossibleValue},
		"duplicate entry":      {old: `"entry-2"`, new: `"entry-1"`, line: 43, key: "entries.name", code: result.ImpossibleValue},
		"unknown store region": {old: `storeRegion = "east-kakheti"`, new: `storeRegion = "kutaisi"`, line: 2, key: "storeRegion", code: result.ImpossibleValue},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(string(data), tt.old))
			_, err := deployment.Parse("d.toml", []byte(strings.Replace(string(data), tt.old, tt.new, 1)))
			var e *service.FileError
			is.True(errors.As(err, &e))
			t.Log(e)
			is.Equal(e.Line, tt.line)
			is.Equal(e.Key, tt.key)
			is.Equal(e.Code, tt.code)
		})
	}
}
