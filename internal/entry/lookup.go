package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// lookup responds with the entries to use for the service.
func (c *call) lookup(name string) {
	if !c.known(name) {
		return
	}
	entries, valid := c.h.Lookup.Entries(c.file.Service, callerAddr(c.r))
	if len(entries) == 0 {
		c.writeError(result.NotReady, time.Second)
		return
	}
	a := lookup.Answer{Service: c.file.Service, Version: c.table.Version, ValidSeconds: int(valid / time.Second), Entries: entries}
	c.code, c.status = result.Served, http.StatusOK
	c.setSystemHeaders()
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", a.ValidSeconds))
	c.writeJSON(&a)
}

// ticket responds with a new ticket for the service.
func (c *call) ticket(name string) {
	if !c.known(name) {
		return
	}
	if c.h.leaving() {
		c.writeError(result.EntryLeaving, 0)
		return
	}
	t := lookup.Ticket{
		Ticket: c.h.Once.Issue(c.h.age(), c.file.Service), Entry: c.h.Instance,
		ValidSeconds: int(c.h.Once.Lifetime() / time.Second),
	}
	c.code, c.status = result.Served, http.StatusOK
	c.setSystemHeaders()
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Cache-Control", "no-store")
	c.writeJSON(&t)
}

func (c *call) known(name string) bool {
	c.file = c.table.Services[id.Service(name)]
	if c.file == nil {
		c.writeError(result.NoService, 0)
		return false
	}
	return true
}
