package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/service"
)

// A request that runs while the entry loses its links to servers must not be blamed for it:
// that no server can be reached doesn't show that one has crashed.
func TestCutLinksAreNoCrashes(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Read, "links cut", "links cut", "links cut", "ok")
	f.route.Attempts = 1
	for range 3 {
		f.ask(t.Context(), "/x/8", "")
		time.Sleep(100 * time.Millisecond) // until the server has been checked
		f.freshServers(t)
	}
	is.Equal(f.crashes(), 0)
	status, _, _ := f.ask(t.Context(), "/x/8", "")
	is.Equal(status, http.StatusOK)
}
