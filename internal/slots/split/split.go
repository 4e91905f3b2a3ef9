package split

import (
	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Share returns the share of the server's total that the entry at index, counted
// from 0 in a list with the given number of entries, may use. It is 0 for an
// index outside the list.
func Share(server id.Server, total, entries, index int) int {
	if index < 0 || index >= entries || total <= 0 {
		return 0
	}
	first := int(xxhash.Sum64String(string(server)) % uint64(entries))
	position := (index - first + entries) % entries
	share := total / entries
	if position < total%entries {
		share++
	}
	return share
}
