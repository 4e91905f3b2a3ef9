// Package split divides a backend server's slots or connections evenly and
// statically among a fixed list of entries.
//
// The shares sum to the total without any communication between the entries, as
// long as all use the same list. The remainder of the division is assigned, one
// each, to consecutive entries of the list, starting at a position given by a hash
// of the server's name. So the remainders of many servers spread over all entries,
// and a change of one server does not change the shares of another.
//
// # Usage
//
//	n := split.Share(server.Name, server.Slots, len(entries), index)
package split
