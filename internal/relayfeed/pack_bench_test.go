package relayfeed

import (
	"encoding/json"
	"testing"

	"github.com/shallotpier/shallotpier/internal/packing"
	"github.com/shallotpier/shallotpier/internal/store"
)

// BenchmarkAnswer measures how long a leader takes to encode an answer with a configuration of
// 4,200 routes, and an entry to decode it.
func BenchmarkAnswer(b *testing.B) {
	changes := []change{{Object: store.Object{Key: "main", Version: version(12), Value: configuration(4200)}}}
	forms := map[string]func() *answer{
		"plain":  func() *answer { return &answer{Changes: changes} },
		"packed": func() *answer { a := &answer{Changes: changes}; new(packer).apply(a, new(packing.Packer)); return a },
	}
	for name, form := range forms {
		b.Run("encode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data, err := json.Marshal(form())
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "B/answer")
			}
		})
		data, err := json.Marshal(form())
		if err != nil {
			b.Fatal(err)
		}
		b.Run("decode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var a answer
				if err := json.Unmarshal(data, &a); err != nil {
					b.Fatal(err)
				}
				if err := a.unpack(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
