// Package model runs the decisions on quotas of many entries in virtual time, without network
// or goroutines, for tests. Messages may be lost, late and duplicated; entries may be cut off,
// paused, killed, restarted and added.
//
// # Usage
//
//	w := model.New(model.Config{Entries: 33, Seed: 7, Bounds: bounds, Organisations: all})
//	w.Request(time.Second, entry, organisation)
//	w.Run(time.Minute)
//	w.Worst(organisation) // the most requests in a window, and the limit
package model
