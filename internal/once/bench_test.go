package once_test

import (
	"testing"

	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// BenchmarkTicket measures the use of one ticket, from issuing it to storing the
// answer.
func BenchmarkTicket(b *testing.B) {
	r := registry()
	r.MaxTickets = 1 << 30
	answer := &once.Answer{Status: 200, Body: make([]byte, 512)}
	b.ReportAllocs()
	for b.Loop() {
		ticket := r.Issue(0, "registry")
		r.End(r.Begin(0, "registry", ticket, once.Binding{1}), result.Served, answer)
	}
}
