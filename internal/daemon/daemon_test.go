package daemon_test

import (
	"context"
	"crypto/sha256"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/daemon"
	"github.com/shallotpier/shallotpier/internal/operator"
	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/internal/standin/fleet"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	callerPort = 21001
	peerPort   = 21002
	token      = "test"
)

// system runs the entries of a deployment against simulated services.
type system struct {
	fleet   *fleet.Fleet
	entries []*daemon.Daemon
	ended   []chan error
}

func start(t *testing.T, entries int) *system {
	t.Helper()
	is := is.New(t)
	f, err := fleet.Load("../../examples/beridze")
	is.NoErr(err)
	f.Ephemeral = true
	f.Platform = loopback()
	f.Deployment.Entries = f.Deployment.Entries[:entries]
	for i := range f.Deployment.Entries {
		f.Deployment.Entries[i].Caller = address(i, callerPort)
		f.Deployment.Entries[i].Peer = address(i, peerPort)
	}
	is.NoErr(f.Start())
	t.Cleanup(func() { f.Close() })
	s := &system{fleet: f}
	for i := range f.Deployment.Entries {
		s.start(t, i)
	}
	return s
}

func (s *system) start(t *testing.T, i int) {
	t.Helper()
	e := s.fleet.Deployment.Entries[i]
	region, _ := s.fleet.Deployment.Region(e.Zone)
	d := &daemon.Daemon{
		Settings: &settings.Settings{
			Instance: e.Name, Zone: e.Zone, Region: region, Deployment: s.fleet.Deployment,
			Listeners: settings.Listeners{Caller: e.Caller, Peer: e.Peer, Operator: loopback()},
			Platform:  settings.Platform{Store: s.fleet.Platform},
			Operators: []settings.Operator{{Name: "nino", Role: settings.Reader, Hash: sha256.Sum256([]byte(token))}},
		},
		Log: slog.New(slog.DiscardHandler),
	}
	open := make(chan struct{})
	d.Started = func() { close(open) }
	ended := make(chan error, 1)
	go func() { ended <- d.Run(context.Background()) }()
	select {
	case <-open:
	case err := <-ended:
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	s.entries, s.ended = append(s.entries, d), append(s.ended, ended)
}

func (s *system) publish(t *testing.T) {
	t.Helper()
	p := publish.Publisher{Store: &s.fleet.Store, Author: "nino"}
	var submission publish.Submission
	for _, f := range s.fleet.Files {
		submission.Files = append(submission.Files, *f)
	}
	draft, refused := p.Prepare(context.Background(), submission)
	if refused != nil {
		t.Fatalf("%+v", refused)
	}
	if out := p.Submit(context.Background(), draft); out.Code != result.Accepted {
		t.Fatalf("%+v", out)
	}
}

func (s *system) url(i int, path string) string {
	return "http://" + s.fleet.Deployment.Entries[i].Caller.String() + path
}

// await polls f until it returns true.
func await(t *testing.T, f func() bool) {
	t.Helper()
	for !f() {
		time.Sleep(10 * time.Millisecond)
	}
}

func get(t *testing.T, url string) (int, http.Header, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body)
}

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// address returns an address of the i-th entry on a separate loopback address,
// so that ports don't collide with other processes on the machine.
func address(i, port int) netip.AddrPort {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(100 + i), byte(pid >> 8), byte(pid)}), uint16(port))
}

func TestEveryEntryForwardsRequests(t *testing.T) {
	is := is.New(t)
	s := start(t, 3)
	status, header, _ := get(t, s.url(0, "/s/registry/findings/8"))
	is.Equal(status, http.StatusServiceUnavailable) // no request is served before a configuration is known
	is.Equal(header.Get(result.HeaderCode), result.NotReady.String())
	is.Equal(header.Get(result.HeaderRan), "no")

	s.publish(t)
	for i := range s.entries {
		await(t, func() bool {
			status, _, _ := get(t, s.url(i, "/s/registry/findings/8"))
			return status == http.StatusOK
		})
		status, header, _ := get(t, s.url(i, "/s/registry/findings/8"))
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get(result.HeaderRan), "yes")
		is.Equal(header.Get(result.HeaderVersion), "1")
		_, _, body := get(t, s.url(i, "/v1/lookup/registry"))
		is.True(strings.Contains(body, `"entry-1"`))
	}
}

func TestStatusShowsHomesAndLoadReports(t *testing.T) {
	is := is.New(t)
	s := start(t, 2)
	s.publish(t)
	client := operator.NewClient(s.entries[0].OperatorAddress(), token)
	var last operator.Status
	await(t, func() bool {
		status, err := client.Status(t.Context())
		last = status
		return err == nil && status.Ready && reported(&status)
	})
	is.Equal(last.Version, id.Version(1))
	is.Equal(len(last.Links), 2) // to the two other regions
	for _, svc := range last.Services {
		for _, b := range svc.Servers {
			is.True(b.Home == "entry-1" || b.Home == "entry-2")
		}
	}
}

// reported reports whether every server's load report is fresh.
func reported(s *operator.Status) bool {
	for _, svc := range s.Services {
		for _, b := range svc.Servers {
			if b.Seen.State != "fresh" {
				return false
			}
		}
	}
	return len(s.Services) > 0
}
