package entry

import (
	"sync"
	"time"

	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Budgets is a Budget that counts each service by itself. The zero Budgets is
// ready for use.
type Budgets struct{ services sync.Map } // id.Service to *retry.Budget

// First notes the first send of a request.
func (b *Budgets) First(now time.Time, file *service.File) { b.of(file).First(now) }

// Retry tells whether one more send is within the service's budget, and spends
// it if so.
func (b *Budgets) Retry(now time.Time, file *service.File) bool {
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
