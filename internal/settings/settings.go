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

// Defaults of values that are missing from a settings file.
const (
	// DefaultConnections is the limit on open connections of callers.
	DefaultConnections = 10_000
	// DefaultHeaderTime is the time limit for receiving a request's header.
	DefaultHeaderTime = unit.Duration(10 * time.Second)
	// DefaultIdleTime is the idle timeout of a caller's connection.
	DefaultIdleTime = unit.Duration(2 * time.Minute)
)

type (
	// Settings is the settings file of one entry, with the deployment file
	// that it names.
	Settings struct {
		// Instance is the entry's name in the platform's list.
		Instance id.Instance `toml:"instance"`
		// Zone is the entry's availability zone.
		Zone id.Zone `toml:"zone"`
		// Region is the region of the zone.
		Region id.Region `toml:"region"`
		// DeploymentFile is the path of the deployment file, relative to the
		// settings file.
		DeploymentFile string `toml:"deployment"`
		// Listeners holds the entry's listen addresses.
		Listeners Listeners `toml:"listeners"`
		// Platform holds the addresses of the platform.
		Platform Platform `toml:"platform"`
		// Operators lists the operators that are authorised on the operators'
		// listener.
		Operators []Operator `toml:"operators"`
		// Limits bounds the connections of callers.
		Limits Limits `toml:"limits"`
		// Log configures the log.
		Log Log `toml:"log"`

		// Deployment is the content of the deployment file.
		Deployment *deployment.Deployment `toml:"-"`
	}

	// Listeners holds the listen addresses of an entry.
	Listeners struct {
		// Caller is for lookups and requests of callers.
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

	// Operator is a person or program that may use the operators' listener.
	Operator struct {
		// Name identifies the operator in the log of its commands.
		Name string `toml:"name"`
		// Role determines which commands the operator may use.
		Role Role `toml:"role"`
		// Hash is the SHA-256 of the operator's bearer token.
		Hash Hash `toml:"hash"`
	}

	// Limits bounds the connections of callers.
	Limits struct {
		// Connections is the limit on open connections of callers.
		Connections int `toml:"connections"`
		// HeaderTime is the time limit for receiving a request's header.
		HeaderTime unit.Duration `toml:"headerTime"`
		// IdleTime is how long a connection without a request is kept open.
		IdleTime unit.Duration `toml:"idleTime"`
	}

	// Log configures the log.
	Log struct {
		// Level is the lowest level that is logged.
		Level Level `toml:"level"`
		// Format is the format of a log line.
		Format Format `toml:"format"`
	}
)

// Load reads and validates a settings file and the deployment file that it
// names. The error is a *service.FileError.
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
	if p := s.checkValues(); p != nil {
		return nil, p.Locate(path, data)
	}
	deploymentPath := filepath.Join(filepath.Dir(path), s.DeploymentFile)
	content, err := read(deploymentPath)
	if err != nil {
		return nil, err
	}
	if s.Deployment, err = deployment.Parse(deploymentPath, content); err != nil {
		return nil, err
	}
	if p := s.checkDeployment(); p != nil {
		return nil, p.Locate(path, data)
	}
	return s, nil
}

// Entry returns the entry of these settings in the deployment file.
func (s *Settings) Entry() *deployment.Entry {
	for i := range s.Deployment.Entries {
		if s.Deployment.Entries[i].Name == s.Instance {
			return &s.Deployment.Entries[i]
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
