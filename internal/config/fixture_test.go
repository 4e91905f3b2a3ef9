package config_test

import (
	stdjson "encoding/json"
	"net/netip"
	"time"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type json = stdjson.RawMessage

func decode(data json, v any) error { return stdjson.Unmarshal(data, v) }

func ifVersion(o store.Object) store.Condition { return store.IfVersion(o.Version) }

func file(name id.Service, slots int) []service.File {
	return []service.File{{
		Service:   name,
		Regions:   []service.Region{{Name: "east", Weight: 1}},
		ShiftCap:  service.ShiftCap{Rise: 10, Window: unit.Duration(time.Second)},
		DrainTime: unit.Duration(time.Minute),
		Retry:     service.Retry{Attempts: 1},
		Classes: []service.Class{{Name: "lookup", Kind: service.Read, Methods: []string{"GET"}, PathPrefix: "/",
			Deadline: unit.Duration(time.Second), BodyLimit: unit.KiB}},
		Servers: []service.Server{{Name: "s-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "east-a", Slots: slots, Connections: 4000}},
	}}
}
