package fleet_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/standin/fleet"
)

func TestStartServesTheWholeDeployment(t *testing.T) {
	is := is.New(t)
	f, err := fleet.Load("../../../examples/dansk")
	is.NoErr(err)
	f.Ephemeral = true
	f.Platform = netip.MustParseAddrPort("127.0.0.1:0")
	is.NoErr(f.Start())
	defer f.Close()
	count := 0
	for _, file := range f.Files {
		for _, s := range file.Servers {
			is.True(f.Server(file.Service, s.Name) != nil)
			count++
		}
	}
	is.Equal(count, 42)

	server := f.File("register").Servers[0]
	resp, err := http.Get("http://" + server.Address.String() + "/records/4")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(f.Server("register", server.Name).Record().MaxRunning, 1)

	resp, err = http.Get("http://" + f.Platform.String() + "/instances")
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), `"live"`), 7)
}

func TestStartReturnsAnErrorForATakenAddress(t *testing.T) {
	is := is.New(t)
	first, err := fleet.Load("../../../examples/dansk")
	is.NoErr(err)
	first.Ephemeral, first.Platform = true, netip.MustParseAddrPort("127.0.0.1:0")
	is.NoErr(first.Start())
	defer first.Close()
	second, err := fleet.Load("../../../examples/dansk")
	is.NoErr(err)
	second.Platform = first.Platform
	is.True(second.Start() != nil)
}
