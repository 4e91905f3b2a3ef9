package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// Values that hold where a settings file says nothing.
const (
	// DefaultConnections is the greatest number of callers' connections.
	DefaultConnections = 10_000
	// DefaultHeaderTime is how long a caller may take over its header.
	DefaultHeaderTime = unit.Duration(10 * time.Second)
	// DefaultIdleTime is how long an idle connection of a caller is kept.
	DefaultIdleTime = unit.Duration(2 * time.Minute)
)

type (
	// Settings is one entry's settings file, with the deployment it names.
	Settings struct {
		// Instance is the entry's name in the platform's list.
		Instance id.Instance `toml:"instance"`
		// Zone is the availability zone that the entry stands in.
		Zone id.Zone `toml:"zone"`
		// Region is the region of the zone.
		Region id.Region `toml:"region"`
		// Deployment is the path of the deployment file, relative to the
		// settings file.
		Deployment string `toml:"deployment"`
		// Listeners holds the addresses that the entry listens on.
		Listeners Listeners `toml:"listeners"`
		// Platform holds the addresses of the platform.
		Platform Platform `toml:"platform"`
		// Operators lists who may use the operators' listener.
		Operators []Operator `toml:"operators"`
		// Limits bounds what callers may take up.
		Limits Limits `toml:"limits"`
		// Log says what is logged and how.
		Log Log `toml:"log"`

		// World is the deployment file's content.
		World *deployment.Deployment `toml:"-"`
	}

	// Listeners holds the addresses that an entry listens on.
	Listeners struct {
		// Caller is for callers' look-ups and requests.
		Caller netip.AddrPort `toml:"caller"`
		// Peer is for the other entries.
		Peer netip.AddrPort `toml:"peer"`
		// Operator is for operators' commands and metrics.
		Operator netip.AddrPort `toml:"operator"`
	}

	// Platform holds the addresses of the platform.
	Platform struct {
		// Store is the address of the object store and the instance list.
		Store netip.AddrPort `toml:"store"`
	}

	// Operator is somebody who may use the operators' listener.
	Operator struct {
		// Name is written to the log with what the operator does.
		Name string `toml:"name"`
		// Role tells what the operator may do.
		Role Role `toml:"role"`
		// Hash is the SHA-256 of the operator's bearer token.
		Hash Hash `toml:"hash"`
	}

	// Limits bounds what callers may take up.
	Limits struct {
		// Connections is the greatest number of open connections of callers.
		Connections int `toml:"connections"`
		// HeaderTime is how long a caller may take to send a request's header.
		HeaderTime unit.Duration `toml:"headerTime"`
		// IdleTime is how long a connection is kept without a request.
		IdleTime unit.Duration `toml:"idleTime"`
	}

	// Log says what is logged and how.
	Log struct {
		// Level is the least level that is logged.
		Level Level `toml:"level"`
		// Format is the form of a line.
		Format Format `toml:"format"`
	}
)

// Load reads and checks a settings file and the deployment file it names. The
// error is a *service.FileError.
func Load(path string) (*Settings, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	s := new(Settings)
	if err := service.Decode(path, data, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	if p := s.checkOwn(); p != nil {
		return nil, p.Locate(path, data)
	}
	world := filepath.Join(filepath.Dir(path), s.Deployment)
	content, err := read(world)
	if err != nil {
		return nil, err
	}
	if s.World, err = deployment.Parse(world, content); err != nil {
		return nil, err
	}
	if p := s.checkWorld(); p != nil {
		return nil, p.Locate(path, data)
	}
	return s, nil
}

// Entry returns the deployment's entry that the settings are for.
func (s *Settings) Entry() *deployment.Entry {
	for i := range s.World.Entries {
		if s.World.Entries[i].Name == s.Instance {
			return &s.World.Entries[i]
		}
	}
	return nil
}

func (s *Settings) setDefaults() {
	setDefault(&s.Limits.Connections, DefaultConnections)
	setDefault(&s.Limits.HeaderTime, DefaultHeaderTime)
	setDefault(&s.Limits.IdleTime, DefaultIdleTime)
	setDefault(&s.Log.Level, Info)
	setDefault(&s.Log.Format, KeyValue)
}

func setDefault[T comparable](dst *T, value T) {
	var zero T
	if *dst == zero {
		*dst = value
	}
}

func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &service.FileError{File: path, Code: result.UnreadableFile, Text: err.Error()}
	}
	return data, nil
}
