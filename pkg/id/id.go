package id

import (
	"github.com/rotisserie/eris"
)

const maxNameLength = 63

type (
	// Service names a service, such as "registry".
	Service string
	// Class names a request class of a service, such as "lookup".
	Class string
	// Server names a backend server; it is unique within its service.
	Server string
	// Instance names an entry instance; it is the name in the platform's list.
	Instance string
	// Zone names an availability zone.
	Zone string
	// Region names a region.
	Region string
	// Organisation names an organisation, to which callers belong by their keys.
	Organisation string
	// Version numbers an accepted configuration. It only increases; 0 means none.
	Version uint64
	// Term is the fencing token of a lease. It only increases: each new holder
	// gets a higher one; 0 means none.
	Term uint64
	// Incarnation distinguishes a process from earlier processes of the same
	// instance. A later start has a higher number; 0 means unknown.
	Incarnation uint64
)

// UnmarshalText decodes and validates a service name.
func (s *Service) UnmarshalText(text []byte) error { return decode(s, text) }

// UnmarshalText decodes and validates a class name.
func (c *Class) UnmarshalText(text []byte) error { return decode(c, text) }

// UnmarshalText decodes and validates a backend server name.
func (s *Server) UnmarshalText(text []byte) error { return decode(s, text) }

// UnmarshalText decodes and validates an instance name.
func (i *Instance) UnmarshalText(text []byte) error { return decode(i, text) }

// UnmarshalText decodes and validates an availability zone name.
func (z *Zone) UnmarshalText(text []byte) error { return decode(z, text) }

// UnmarshalText decodes and validates a region name.
func (r *Region) UnmarshalText(text []byte) error { return decode(r, text) }

// UnmarshalText decodes and validates an organisation name.
func (o *Organisation) UnmarshalText(text []byte) error { return decode(o, text) }

func decode[T ~string](dst *T, text []byte) error {
	if err := check(text); err != nil {
		return err
	}
	*dst = T(text)
	return nil
}

func check(text []byte) error {
	if len(text) == 0 || len(text) > maxNameLength {
		return eris.Errorf("name %q is %d bytes long, want 1 to %d", text, len(text), maxNameLength)
	}
	for i, c := range text {
		inner := i > 0 && i < len(text)-1
		if !validByte(c, inner) {
			return eris.Errorf("name %q: byte %q at offset %d is not allowed, want lowercase letters, digits, and hyphens except first and last", text, c, i)
		}
	}
	return nil
}

func validByte(c byte, inner bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		return true
	case c == '-':
		return inner
	default:
		return false
	}
}
