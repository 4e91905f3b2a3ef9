package model

import (
	"time"

	"github.com/shallotpier/shallotpier/pkg/service"
)

// uneven is a service of 156 servers with 3 slots each, whose pace changes many times a
// second, and a few hundred objects. Without what servers save for objects that they know,
// the load would exceed the capacity.
func uneven(entries int) func(uint64) *Model {
	return func(seed uint64) *Model {
		return &Model{
			Seed: seed, Length: 60 * time.Second, Entries: entries, Delay: 12 * time.Millisecond, Attempts: 2,
			Service: Service{
				Regions: []int{52, 52, 52}, Slots: 3, Queue: 9, WarmObjects: 16, WarmSaving: 0.7,
				Pace: Pace{Spread: 0.25, Swing: 0.4, Period: 150 * time.Millisecond},
			},
			Classes: []Class{
				{Kind: service.Read, Rate: 657, Objects: 300, ServiceTime: 750 * time.Millisecond, Objective: 600 * time.Millisecond, Deadline: 4 * time.Second},
			},
		}
	}
}
