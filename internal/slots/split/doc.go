// Package split divides a backend server's slots or connections evenly and
// for good among a fixed list of entries.
//
// The parts sum to the whole, whatever the entries know of each other, as
// long as they agree on the list. What doesn't divide evenly goes to entries
// that follow each other in the list, from a place that depends on the
// server's name, so that the remainders of many servers spread over all
// entries and a change of one server moves no other's.
//
// # Usage
//
//	n := split.Share(server.Name, server.Slots, len(entries), index)
package split
