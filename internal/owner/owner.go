// Package owner ranks the backend servers of a service for an object, so that all
// entries send requests on one object to the same server without coordination.
//
// The ranking is rendezvous hashing: each pair of object and server has a
// pseudo-random score, and the server with the highest score is the owner. When a
// server is removed, only its objects move; when one is added, it takes an equal
// share of the objects of all others.
//
// # Usage
//
//	seed := owner.Seed("i-7f3a91c2") // once per server
//	key := owner.Key(svc, "17")
//	score := owner.Score(key, seed)
package owner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Seed returns the hash of a server's name.
func Seed(server id.Server) uint64 { return xxhash.Sum64String(string(server)) }

// Key returns the hash of an object of a service.
func Key(svc id.Service, object string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(svc))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(object)
	return d.Sum64()
}

// Score returns the score of a server for an object; the server with the highest
// score owns it.
func Score(key, seed uint64) uint64 {
	// The finalizer of MurmurHash3 mixes the bits of the pair.
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Fraction returns a pseudo-random number in [0, 1) for an object. It is uniformly
// distributed over the objects and the same for equal seeds.
func Fraction(key, seed uint64) float64 { return float64(Score(key, seed)>>11) / (1 << 53) }
