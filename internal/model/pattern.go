package model

import (
	"time"

	"github.com/shallotpier/shallotpier/pkg/service"
)

// Pattern is a load with a disturbance, and the span of time after it by which
// policies are compared.
type Pattern struct {
	// Name says what happens.
	Name string
	// From and To bound the span.
	From, To time.Duration
	// Model makes the simulation for a seed.
	Model func(seed uint64) *Model
}

// Patterns returns the load patterns that policies are compared by.
func Patterns() []Pattern {
	const s = time.Second
	return []Pattern{
		{"steady load near the capacity of warm servers", 10 * s, 24 * s, registry},
		{"overload ends after all servers forgot their objects", 15 * s, 24 * s, disturbed(registry, 10*s, (*Servers).Forget)},
		{"overload ends after all servers refused for a time", 20 * s, 24 * s, func(seed uint64) *Model {
			m := registry(seed)
			m.At(10*s, func(all *Servers) { all.Refuse(0.55) })
			m.At(18*s, func(all *Servers) { all.Refuse(0) })
			return m
		}},
		{"a third of the servers leaves", 15 * s, 24 * s, disturbed(registry, 10*s, func(all *Servers) { all.Leave(8) })},
		{"two fifths of the servers turn very slow", 14 * s, 24 * s, disturbed(registry, 10*s, func(all *Servers) { all.Slow(12, 12) })},
		{"servers turn slow", 13 * s, 24 * s, disturbed(registry, 10*s, func(all *Servers) { all.Slow(5, 8) })},
		{"many entries start over servers that know nothing", 3 * s, 14 * s, grown},
		{"two fifths of many servers leave while the others warm up", 6 * s, 14 * s, disturbed(grown, s, func(all *Servers) { all.Leave(88) })},
		{"few servers are left for many objects", 15 * s, 24 * s, disturbed(crowded, 10*s, (*Servers).Forget)},
	}
}

// disturbed makes a change at a time.
func disturbed(model func(uint64) *Model, at time.Duration, change func(*Servers)) func(uint64) *Model {
	return func(seed uint64) *Model {
		m := model(seed)
		m.At(at, change)
		return m
	}
}

// registry is a service at two thirds of its warm capacity: 30 servers of 6
// slots, where work for an unknown object takes more than there is.
func registry(seed uint64) *Model {
	return &Model{
		Seed: seed, Length: 24 * time.Second, Entries: 7, Delay: 12 * time.Millisecond, Attempts: 2,
		Service: Service{Regions: []int{4, 12, 14}, Slots: 6, Queue: 18, Warm: 86, Gain: 0.7},
		Classes: []Class{
			{Kind: service.Read, Rate: 900, Objects: 144, Work: 248 * time.Millisecond, Objective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond},
			{Kind: service.Write, Rate: 390, Objects: 62, Work: 324 * time.Millisecond, Objective: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond},
		},
	}
}

// crowded is the same service with 17 servers, near their warm capacity, and more
// objects.
func crowded(seed uint64) *Model {
	m := registry(seed)
	m.Service.Regions, m.Service.Warm = []int{5, 6, 6}, 64
	m.Classes[0].Rate, m.Classes[0].Objects = 735, 380
	m.Classes[1].Rate, m.Classes[1].Objects = 315, 164
	return m
}

// grown is a service of many servers behind many entries, whose work for unknown
// objects is long against the time that a route allows.
func grown(seed uint64) *Model {
	return &Model{
		Seed: seed, Length: 14 * time.Second, Entries: 31, Delay: 12 * time.Millisecond, Attempts: 2,
		Service: Service{Regions: []int{20, 84, 100}, Slots: 6, Queue: 18, Warm: 28, Gain: 0.7},
		Classes: []Class{
			{Kind: service.Read, Rate: 1500, Objects: 800, Work: 760 * time.Millisecond, Objective: 500 * time.Millisecond, Deadline: 4 * time.Second, Timeout: 1200 * time.Millisecond},
			{Kind: service.Write, Rate: 650, Objects: 340, Work: time.Second, Objective: 600 * time.Millisecond, Deadline: 5 * time.Second, Timeout: 1500 * time.Millisecond},
		},
	}
}
