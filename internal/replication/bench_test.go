package replication_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotpier/shallotpier/internal/replication"
)

// row is a computed lookup row as it would be replicated.
type row struct {
	Block replication.Block  `json:"block" cbor:"1,keyasint"`
	Sites []replication.Site `json:"sites" cbor:"2,keyasint"`
}

// BenchmarkShip compares, for an epoch with one change of a site, replicating
// the change with replicating the rows that depend on it: the bytes on the
// wire, and the receiver's time to decode and apply.
func BenchmarkShip(b *testing.B) {
	const sites = 2100
	for _, blocks := range []int{1_000, 10_000, 100_000} {
		nearest := randomNearest(sites, blocks, 7)
		origin := replication.NewReplica(sites, nearest)
		leave := []replication.Change{{Version: 12_000, Kind: replication.SetLeaving, Site: 42}}
		origin.Advance(leave)
		epoch := replication.Epoch{Number: 1, Changes: leave, Digest: origin.Digest()}
		var rows []row
		for _, block := range origin.Changed() {
			rows = append(rows, row{Block: block, Sites: origin.Row(block)})
		}
		b.Run(fmt.Sprintf("inputs/json/blocks=%d", blocks), func(b *testing.B) {
			benchmarkInputs(b, sites, nearest, &epoch, json.Marshal, json.Unmarshal)
		})
		b.Run(fmt.Sprintf("inputs/cbor/blocks=%d", blocks), func(b *testing.B) {
			benchmarkInputs(b, sites, nearest, &epoch, cbor.Marshal, cbor.Unmarshal)
		})
		b.Run(fmt.Sprintf("rows/json/blocks=%d", blocks), func(b *testing.B) {
			benchmarkRows(b, blocks, rows, json.Marshal, json.Unmarshal)
		})
		b.Run(fmt.Sprintf("rows/cbor/blocks=%d", blocks), func(b *testing.B) {
			benchmarkRows(b, blocks, rows, cbor.Marshal, cbor.Unmarshal)
		})
	}
}

func benchmarkInputs(b *testing.B, sites int, nearest [][]replication.Site, e *replication.Epoch, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	data, err := marshal(e)
	if err != nil {
		b.Fatal(err)
	}
	r := replication.NewReplica(sites, nearest)
	back := []replication.Change{{Kind: replication.SetLeaving, Site: 42, Weight: 1}}
	number := uint64(0)
	for b.Loop() {
		var got replication.Epoch
		if err := unmarshal(data, &got); err != nil {
			b.Fatal(err)
		}
		got.Number = number + 1
		if err := r.Apply(&got); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		r.Advance(back)
		number += 2
		b.StartTimer()
	}
	b.ReportMetric(float64(len(data)), "wireB/change")
}

func benchmarkRows(b *testing.B, blocks int, rows []row, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	data, err := marshal(rows)
	if err != nil {
		b.Fatal(err)
	}
	table := make([][]replication.Site, blocks)
	for b.Loop() {
		var got []row
		if err := unmarshal(data, &got); err != nil {
			b.Fatal(err)
		}
		for _, r := range got {
			table[r.Block] = r.Sites
		}
	}
	b.ReportMetric(float64(len(data)), "wireB/change")
}

func BenchmarkSnapshot(b *testing.B) {
	for _, blocks := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			nearest := randomNearest(2100, blocks, 7)
			data, err := cbor.Marshal(nearest)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				replication.NewReplica(2100, nearest)
			}
			b.ReportMetric(float64(len(data)), "wireB")
		})
	}
}
