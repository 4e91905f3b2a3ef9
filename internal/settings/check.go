package settings

import (
	"fmt"
	"net/netip"

	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Bounds of the values in a settings file.
const (
	// MaxConnections is the upper bound of limits.connections.
	MaxConnections = 1_000_000
)

func (s *Settings) checkValues() *service.FileError {
	for _, check := range []func() *service.FileError{s.checkRequired, s.checkListeners, s.checkOperators, s.checkLimits} {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

func (s *Settings) checkRequired() *service.FileError {
	switch {
	case s.Instance == "":
		return missing("instance")
	case s.Zone == "":
		return missing("zone")
	case s.Region == "":
		return missing("region")
	case s.DeploymentFile == "":
		return missing("deployment")
	case !s.Platform.Store.IsValid():
		return missing("platform.store")
	}
	return nil
}

func (s *Settings) checkListeners() *service.FileError {
	listeners := []struct {
		key     string
		address netip.AddrPort
	}{
		{"listeners.caller", s.Listeners.Caller},
		{"listeners.peer", s.Listeners.Peer},
		{"listeners.operator", s.Listeners.Operator},
	}
	seen := map[netip.AddrPort]bool{}
	for _, l := range listeners {
		switch {
		case !l.address.IsValid():
			return missing(l.key)
		case l.address.Port() != 0 && seen[l.address]:
			return impossible(l.key, "%s is already the address of another listener; each listener needs its own", l.address)
		}
		seen[l.address] = true
	}
	return nil
}

func (s *Settings) checkOperators() *service.FileError {
	seen := map[string]bool{}
	for i, o := range s.Operators {
		switch {
		case o.Name == "":
			return missing("operators.name").At(i)
		case seen[o.Name]:
			return impossible("operators.name", "%q is used twice; operator names must be unique", o.Name).At(i)
		case o.Role == "":
			return missing("operators.role").At(i)
		case o.Hash == Hash{}:
			return missing("operators.hash").At(i)
		case o.Hash == HashToken(""):
			return impossible("operators.hash", "the hash of an empty token is not allowed; must be the SHA-256 of the operator's token").At(i)
		}
		seen[o.Name] = true
	}
	return nil
}

func (s *Settings) checkLimits() *service.FileError {
	if n := s.Limits.Connections; n < 1 || n > MaxConnections {
		return impossible("limits.connections", "%d is out of range, must be 1 to %d", n, MaxConnections)
	}
	return nil
}

// checkDeployment checks the settings against the deployment file.
func (s *Settings) checkDeployment() *service.FileError {
	region, ok := s.Deployment.Region(s.Zone)
	entry := s.Entry()
	switch {
	case !ok:
		return impossible("zone", "%q is not a zone of the deployment file %s", s.Zone, s.DeploymentFile)
	case region != s.Region:
		return impossible("region", "%q must be %q, the region of zone %q in the deployment file %s", s.Region, region, s.Zone, s.DeploymentFile)
	case entry == nil:
		return impossible("instance", "%q is not an entry of the deployment file %s", s.Instance, s.DeploymentFile)
	case entry.Zone != s.Zone:
		return impossible("zone", "%q must be %q, the zone of entry %q in the deployment file %s", s.Zone, entry.Zone, s.Instance, s.DeploymentFile)
	case entry.Caller != s.Listeners.Caller:
		return impossible("listeners.caller", "%s must be %s, the caller address of entry %q in the deployment file %s", s.Listeners.Caller, entry.Caller, s.Instance, s.DeploymentFile)
	case entry.Peer != s.Listeners.Peer:
		return impossible("listeners.peer", "%s must be %s, the peer address of entry %q in the deployment file %s", s.Listeners.Peer, entry.Peer, s.Instance, s.DeploymentFile)
	}
	return nil
}

func missing(key string) *service.FileError {
	return &service.FileError{Key: key, Code: result.MissingValue, Text: "a value is required"}
}

func impossible(key, format string, args ...any) *service.FileError {
	return &service.FileError{Key: key, Code: result.ImpossibleValue, Text: fmt.Sprintf(format, args...)}
}
