package entry

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Budgets is a Budget that keeps a separate retry budget for each service. The
// zero Budgets is ready for use.
type Budgets struct{ services sync.Map } // id.Service to *retry.Budget

// CountFirst counts the first send of a request.
func (b *Budgets) CountFirst(now time.Time, file *service.File) { b.of(file).CountFirst(now) }

// TakeRetry reports whether a retry is within the service's budget, and if so
// takes it from the budget.
func (b *Budgets) TakeRetry(now time.Time, file *service.File) bool {
	return b.of(file).Take(now, file.Retry.Budget)
}

func (b *Budgets) of(file *service.File) *retry.Budget {
	v, ok := b.services.Load(file.Service)
	if !ok {
		v, _ = b.services.LoadOrStore(file.Service, new(retry.Budget))
	}
	budget, ok := v.(*retry.Budget)
	if !ok {
		return new(retry.Budget)
	}
	return budget
}
