package settings

import (
	"fmt"
	"net/netip"

	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Bounds of the values in a settings file.
const (
	// MaxConnections is the greatest number of callers' connections.
	MaxConnections = 1_000_000
)

func (s *Settings) checkOwn() *service.FileError {
	for _, check := range []func() *service.FileError{s.checkHead, s.checkListeners, s.checkOperators, s.checkLimits} {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

func (s *Settings) checkHead() *service.FileError {
	switch {
	case s.Instance == "":
		return missing("instance")
	case s.Zone == "":
		return missing("zone")
	case s.Region == "":
		return missing("region")
	case s.Deployment == "":
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
			return impossible(l.key, "another listener has the same address")
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
			return impossible("operators.name", "%q is named twice", o.Name).At(i)
		case o.Role == "":
			return missing("operators.role").At(i)
		case o.Hash == Hash{}:
			return missing("operators.hash").At(i)
		case o.Hash == HashToken(""):
			return impossible("operators.hash", "is the hash of an empty token").At(i)
		}
		seen[o.Name] = true
	}
	return nil
}

func (s *Settings) checkLimits() *service.FileError {
	if n := s.Limits.Connections; n < 1 || n > MaxConnections {
		return impossible("limits.connections", "must be 1 to %d", MaxConnections)
	}
	return nil
}

func (s *Settings) checkWorld() *service.FileError {
	region, ok := s.World.Region(s.Zone)
	entry := s.Entry()
	switch {
	case !ok:
		return impossible("zone", "%q is not in %s", s.Zone, s.Deployment)
	case region != s.Region:
		return impossible("region", "%s has the zone in %q", s.Deployment, region)
	case entry == nil:
		return impossible("instance", "%q is not an entry of %s", s.Instance, s.Deployment)
	case entry.Zone != s.Zone:
		return impossible("zone", "%s has the entry in %q", s.Deployment, entry.Zone)
	case entry.Caller != s.Listeners.Caller:
		return impossible("listeners.caller", "%s has the entry at %s", s.Deployment, entry.Caller)
	case entry.Peer != s.Listeners.Peer:
		return impossible("listeners.peer", "%s has the entry at %s", s.Deployment, entry.Peer)
	}
	return nil
}

func missing(key string) *service.FileError {
	return &service.FileError{Key: key, Code: result.MissingValue, Text: "a value is required"}
}

func impossible(key, format string, args ...any) *service.FileError {
	return &service.FileError{Key: key, Code: result.ImpossibleValue, Text: fmt.Sprintf(format, args...)}
}
