package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// askFrom sends a request from the n-th of several addresses, on a connection of its own,
// and returns status and code.
func (f *fixture) askFrom(t *testing.T, n int, path, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(10+n))}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	r, err := f.request(t.Context(), path, body)
	is.NoErr(err)
	resp, err := client.Do(r)
	is.NoErr(err)
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(result.HeaderCode)
}

// freshServers replaces the servers by three others, each in a zone of its own.
func (f *fixture) freshServers(t *testing.T) {
	t.Helper()
	first := len(f.backend.listeners)
	for range 3 {
		f.addServer(t)
	}
	var servers []roster.Server
	for n, l := range f.backend.listeners[first:] {
		servers = append(servers, roster.Server{
			Name: id.Server(fmt.Sprintf("i-%d", first+n)), Service: svc, Address: l.Addr().String(), Zone: id.Zone(fmt.Sprintf("z-%d", n)), Slots: 6,
		})
	}
	f.roster.Replace(time.Now(), servers)
}

// A request that has crashed three servers must be refused, from whichever addresses it
// comes: its caller may have several.
func TestRequestFromOtherAddressesIsQuarantined(t *testing.T) {
	tests := map[string]struct {
		kind service.Kind
		body string
		// addresses is the number of addresses that the request comes from in turn.
		addresses int
	}{
		"read, each from another address":  {service.Read, "", 12},
		"write, each from another address": {service.Write, "body", 12},
		"read, from two addresses in turn": {service.Read, "", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, tt.kind, "crash")
			f.route.Attempts = 1
			code := ""
			for n := range 5 {
				_, code = f.askFrom(t, n%tt.addresses, "/x/8", tt.body)
				if code == result.Quarantined.String() {
					break
				}
				f.waitForCrashes(n + 1)
				f.freshServers(t)
			}
			is.Equal(code, result.Quarantined.String())
			is.Equal(f.backend.requests.Load(), int64(3))
			for n := range 4 {
				status, code := f.askFrom(t, 20+n, "/x/8", tt.body)
				is.Equal(fmt.Sprint(status, " ", code), fmt.Sprint(http.StatusServiceUnavailable, " ", result.Quarantined))
			}
		})
	}
}

// Crashes by the requests of one caller must not turn away equal requests of others, and
// the success of another caller must not clear those crashes.
func TestCrashesOfOneCallerConcernThatCallerOnly(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Read, "crash", "crash", "crash", "ok")
	f.route.Attempts = 1
	for n := range 3 {
		f.askFrom(t, 0, "/x/8", "")
		f.waitForCrashes(n + 1)
		f.freshServers(t)
	}
	status, _ := f.askFrom(t, 1, "/x/8", "")
	is.Equal(status, http.StatusOK)
	_, code := f.askFrom(t, 0, "/x/8", "")
	is.Equal(code, result.Quarantined.String())
	status, _ = f.askFrom(t, 2, "/x/8", "")
	is.Equal(status, http.StatusOK)
	is.Equal(f.backend.requests.Load(), int64(5))
}
