package model

import (
	"time"

	"github.com/shallotpier/shallotpier/pkg/service"
)

// Pattern is a load with a disturbance, and the period in which policies are
// compared.
type Pattern struct {
	// Name describes the load and the disturbance.
	Name string
	// From and To bound the period, as times since the start.
	From, To time.Duration
	// Model creates the simulation for a seed.
	Model func(seed uint64) *Model
}

// Patterns returns the load patterns on which policies are compared.
func Patterns() []Pattern {
	const s = time.Second
	return []Pattern{
		{"steady load near the capacity of warm servers", 10 * s, 24 * s, registry},
		{"overload ends after all servers forgot their objects", 15 * s, 24 * s, disturbed(registry, 10*s, (*Servers).ClearWarm)},
		{"overload ends after all servers refused for a time", 20 * s, 24 * s, func(seed uint64) *Model {
			m := registry(seed)
			m.At(10*s, func(all *Servers) { all.SetRejectRatio(0.55) })
			m.At(18*s, func(all *Servers) { all.SetRejectRatio(0) })
			return m
		}},
		{"a third of the servers leaves", 15 * s, 24 * s, disturbed(registry, 10*s, func(all *Servers) { all.Remove(8) })},
		{"two fifths of the servers turn very slow", 14 * s, 24 * s, disturbed(registry, 10*s, func(all *Servers) { all.Slow(12, 12) })},
		{"servers turn slow", 13 * s, 24 * s, disturbed(registry, 10*s, func(all *Servers) { all.Slow(5, 8) })},
		{"many entries start over servers that know nothing", 3 * s, 14 * s, manyServers},
		{"two fifths of many servers leave while the others warm up", 6 * s, 14 * s, disturbed(manyServers, s, func(all *Servers) { all.Remove(88) })},
		{"a third of the servers names limits", 14 * s, 24 * s, disturbed(registry, 10*s, func(all *Servers) { all.Limit(10, 20) })},
		{"a fifth of many servers names limits below one request an entry", 6 * s, 14 * s, disturbed(manyServers, s, func(all *Servers) { all.Limit(40, 2.5) })},
		{"few servers are left for many objects", 15 * s, 24 * s, disturbed(fewServers, 10*s, (*Servers).ClearWarm)},
		{"servers of uneven pace, many entries", 20 * s, 60 * s, uneven(89)},
	}
}

// disturbed adds a change of the servers to a model.
func disturbed(model func(uint64) *Model, at time.Duration, change func(*Servers)) func(uint64) *Model {
	return func(seed uint64) *Model {
		m := model(seed)
		m.At(at, change)
		return m
	}
}

// registry is a service at two thirds of its warm capacity: 30 servers with 6
// slots each. If all servers were cold, the load would exceed the capacity.
func registry(seed uint64) *Model {
	return &Model{
		Seed: seed, Length: 24 * time.Second, Entries: 7, Delay: 12 * time.Millisecond, Attempts: 2,
		Service: Service{Regions: []int{4, 12, 14}, Slots: 6, Queue: 18, WarmObjects: 86, WarmSaving: 0.7},
		Classes: []Class{
			{Kind: service.Read, Rate: 900, Objects: 144, ServiceTime: 248 * time.Millisecond, Objective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond},
			{Kind: service.Write, Rate: 390, Objects: 62, ServiceTime: 324 * time.Millisecond, Objective: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond},
		},
	}
}

// fewServers is the registry service with 17 servers close to their warm capacity
// and with more objects.
func fewServers(seed uint64) *Model {
	m := registry(seed)
	m.Service.Regions, m.Service.WarmObjects = []int{5, 6, 6}, 64
	m.Classes[0].Rate, m.Classes[0].Objects = 735, 380
	m.Classes[1].Rate, m.Classes[1].Objects = 315, 164
	return m
}

// manyServers is a service with many servers and many entries. Its service times
// for cold objects are long compared with the timeouts of its routes.
func manyServers(seed uint64) *Model {
	return &Model{
		Seed: seed, Length: 14 * time.Second, Entries: 31, Delay: 12 * time.Millisecond, Attempts: 2,
		Service: Service{Regions: []int{20, 84, 100}, Slots: 6, Queue: 18, WarmObjects: 28, WarmSaving: 0.7},
		Classes: []Class{
			{Kind: service.Read, Rate: 1500, Objects: 800, ServiceTime: 760 * time.Millisecond, Objective: 500 * time.Millisecond, Deadline: 4 * time.Second, Timeout: 1200 * time.Millisecond},
			{Kind: service.Write, Rate: 650, Objects: 340, ServiceTime: time.Second, Objective: 600 * time.Millisecond, Deadline: 5 * time.Second, Timeout: 1500 * time.Millisecond},
		},
	}
}
