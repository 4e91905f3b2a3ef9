package fleet

import (
	"errors"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/httpserver"
	"github.com/shallotpier/shallotpier/internal/instances"
	"github.com/shallotpier/shallotpier/internal/servicefiles"
	"github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Running times of requests on the simulated backend servers.
const (
	readTime   = 5 * time.Millisecond
	writeTime  = 20 * time.Millisecond
	uploadTime = 50 * time.Millisecond
)

type (
	// Fleet is the simulated environment of one deployment. Its exported fields
	// must not be changed between Start and Close.
	Fleet struct {
		// Deployment is the deployment.
		Deployment *deployment.Deployment
		// Files holds the service files. With Ephemeral, Start sets their
		// backend servers' addresses.
		Files []*service.File
		// Platform is the platform's listen address; Start sets the port if it
		// is 0.
		Platform netip.AddrPort
		// Ephemeral makes every backend server listen on a free port instead of
		// its configured one.
		Ephemeral bool

		// Store is the platform's store.
		Store platform.Store
		// Instances is the platform's list of instances.
		Instances platform.Instances

		servers map[name]*backend.Server
		http    *httpserver.Server
	}

	name struct {
		service id.Service
		server  id.Server
	}
)

// Load reads deployment.toml and the service files below services in the folder.
// The error for an unreadable or invalid file is a *service.FileError.
func Load(folder string) (*Fleet, error) {
	path := filepath.Join(folder, "deployment.toml")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	dep, err := deployment.Parse(path, data)
	if err != nil {
		return nil, err
	}
	files, err := servicefiles.Read(filepath.Join(folder, "services"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: dep}
	for _, each := range files {
		f.Files = append(f.Files, each.Parsed)
	}
	return f, nil
}

// Start starts the platform and the backend servers, and lists the entries as
// live. If something fails to start, Start stops the rest and returns the error.
func (f *Fleet) Start() error {
	f.servers = map[name]*backend.Server{}
	if err := f.start(); err != nil {
		return errors.Join(err, f.Close())
	}
	for _, e := range f.Deployment.Entries {
		f.Instances.Set(instances.Instance{Name: e.Name, Zone: e.Zone, State: instances.Live, Started: time.Now()})
	}
	return nil
}

// Server returns a simulated backend server, nil if there is none of the name.
func (f *Fleet) Server(of id.Service, server id.Server) *backend.Server {
	return f.servers[name{of, server}]
}

// File returns the file of a service, nil if there is none.
func (f *Fleet) File(of id.Service) *service.File {
	for _, file := range f.Files {
		if file.Service == of {
			return file
		}
	}
	return nil
}

// Close stops the platform and all backend servers.
func (f *Fleet) Close() error {
	var errs []error
	for _, s := range f.servers {
		errs = append(errs, s.Close())
	}
	if f.http != nil {
		errs = append(errs, f.http.Close())
	}
	return errors.Join(errs...)
}

func (f *Fleet) start() error {
	mux := http.NewServeMux()
	mux.HandleFunc(controlPath, f.control)
	mux.Handle("/", platform.NewHandler(&f.Store, &f.Instances))
	server := &httpserver.Server{Address: f.Platform, Handler: mux}
	if err := server.Start(); err != nil {
		return eris.Wrap(err, "platform")
	}
	f.http, f.Platform = server, server.Address
	for _, file := range f.Files {
		for i := range file.Servers {
			if err := f.startServer(file, &file.Servers[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startServer(file *service.File, s *service.Server) error {
	server := &backend.Server{Name: s.Name, Slots: s.Slots, Connections: s.Connections, RunningTime: runningTimes(file)}
	address := s.Address
	if f.Ephemeral {
		address = netip.AddrPortFrom(address.Addr(), 0)
	}
	listening, err := server.Listen(address.String())
	if err != nil {
		return eris.Wrapf(err, "backend server %s", s.Name)
	}
	s.Address = listening
	f.servers[name{file.Service, s.Name}] = server
	return nil
}

// runningTimes returns the running times of requests by path prefix.
func runningTimes(file *service.File) map[string]time.Duration {
	t := map[string]time.Duration{}
	for i := range file.Classes {
		c := &file.Classes[i]
		switch c.Kind {
		case service.Read:
			t[c.PathPrefix] = readTime
		case service.Upload:
			t[c.PathPrefix] = uploadTime
		default:
			t[c.PathPrefix] = writeTime
		}
	}
	return t
}

func unreadable(path string, err error) error {
	return &service.FileError{File: path, Code: result.UnreadableFile, Text: err.Error()}
}
