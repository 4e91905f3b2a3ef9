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

func TestStartServesAllServersAndInstances(t *testing.T) {
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

func TestControlSetsFaultsAndReturnsCounts(t *testing.T) {
	is := is.New(t)
	f, err := fleet.Load("../../../examples/dansk")
	is.NoErr(err)
	f.Ephemeral, f.Platform = true, netip.MustParseAddrPort("127.0.0.1:0")
	is.NoErr(f.Start())
	defer f.Close()
	control := "http://" + f.Platform.String() + "/servers/register/register-1"
	server := "http://" + f.File("register").Servers[0].Address.String()
	put := func(path, body string) int {
		req, err := http.NewRequest(http.MethodPut, control+path, strings.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(put("", `{"shed":true}`), http.StatusNoContent)
	resp, err := http.Get(server + "/records/4")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(put("", `{"crashPath":"/records/13"}`), http.StatusNoContent)
	_, err = http.Get(server + "/records/13")
	is.True(err != nil)
	resp, err = http.Get(control)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(strings.TrimSpace(string(body)), `{"running":0,"ran":0,"twice":0,"overloads":0,"shed":1,"crashes":1}`)
	is.Equal(put("", `{"sheds":true}`), http.StatusBadRequest)
	is.Equal(put("/elsewhere", ""), http.StatusNotFound)
}
