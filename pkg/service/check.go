package service

import (
	"fmt"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Bounds of the values in a service file.
const (
	// MaxSlots is the maximum number of slots (concurrent requests) of one
	// backend server.
	MaxSlots = 10_000
	// MaxAttempts is the maximum number of sends of one request.
	MaxAttempts = 5
	// MaxDeadline is the longest deadline of a class.
	MaxDeadline = 24 * time.Hour
)

// Check returns the first error in the file, without file name and line; nil if
// there is none.
func (f *File) Check() *FileError {
	checks := []func() *FileError{f.checkHead, f.checkRegions, f.checkClasses, f.checkServers}
	for _, check := range checks {
		if e := check(); e != nil {
			return e
		}
	}
	return nil
}

func (f *File) checkHead() *FileError {
	switch {
	case f.Service == "":
		return missing("service")
	case f.ShiftCap.Rise <= 0:
		return impossible("shiftCap.rise", "is %v, must be greater than 0", f.ShiftCap.Rise)
	case f.ShiftCap.Window <= 0:
		return impossible("shiftCap.window", "is %s, must be greater than 0", f.ShiftCap.Window)
	case f.DrainTime <= 0:
		return impossible("drainTime", "is %s, must be greater than 0", f.DrainTime)
	case f.Retry.Attempts < 1 || f.Retry.Attempts > MaxAttempts:
		return impossible("retry.attempts", "is %d, must be 1 to %d", f.Retry.Attempts, MaxAttempts)
	case !(f.Retry.Budget >= 0 && f.Retry.Budget <= 1):
		return impossible("retry.budget", "is %v, must be 0 to 1", f.Retry.Budget)
	}
	return nil
}

func (f *File) checkRegions() *FileError {
	if len(f.Regions) == 0 {
		return missing("regions")
	}
	seen := map[id.Region]bool{}
	for i, r := range f.Regions {
		if e := r.check(); e != nil {
			return e.At(i)
		}
		if seen[r.Name] {
			return impossible("regions.name", "duplicate name %q", r.Name).At(i)
		}
		seen[r.Name] = true
	}
	return nil
}

func (r *Region) check() *FileError {
	switch {
	case r.Name == "":
		return missing("regions.name")
	case r.Weight < 0:
		return impossible("regions.weight", "is %d, must be 0 or greater", r.Weight)
	case !(r.HeadroomFloor >= 0 && r.HeadroomFloor < 1):
		return impossible("regions.headroomFloor", "is %v, must be 0 or greater and less than 1", r.HeadroomFloor)
	}
	return nil
}

func (f *File) checkClasses() *FileError {
	if len(f.Classes) == 0 {
		return missing("classes")
	}
	seen := map[id.Class]bool{}
	for i := range f.Classes {
		c := &f.Classes[i]
		if e := c.check(); e != nil {
			return e.At(i)
		}
		if seen[c.Name] {
			return impossible("classes.name", "duplicate name %q", c.Name).At(i)
		}
		seen[c.Name] = true
	}
	return nil
}

func (c *Class) check() *FileError {
	switch {
	case c.Name == "":
		return missing("classes.name")
	case c.Kind != Read && c.Kind != Write && c.Kind != Once && c.Kind != Upload:
		return impossible("classes.kind", "is %q, must be read, write, once or upload", c.Kind)
	case len(c.Methods) == 0:
		return missing("classes.methods")
	case c.PathPrefix == "" || c.PathPrefix[0] != '/':
		return impossible("classes.pathPrefix", "is %q, must start with a slash", c.PathPrefix)
	case c.Deadline <= 0 || c.Deadline.Std() > MaxDeadline:
		return impossible("classes.deadline", "is %s, must be greater than 0 and at most %s", c.Deadline, MaxDeadline)
	case c.BodyLimit < 0:
		return impossible("classes.bodyLimit", "is %d bytes, must be 0 or greater", c.BodyLimit)
	}
	return nil
}

func (f *File) checkServers() *FileError {
	if len(f.Servers) == 0 {
		return missing("servers")
	}
	seen := map[id.Server]bool{}
	for i := range f.Servers {
		s := &f.Servers[i]
		if e := s.check(); e != nil {
			return e.At(i)
		}
		if seen[s.Name] {
			return impossible("servers.name", "duplicate name %q", s.Name).At(i)
		}
		seen[s.Name] = true
	}
	return nil
}

func (s *Server) check() *FileError {
	switch {
	case s.Name == "":
		return missing("servers.name")
	case !s.Address.IsValid():
		return missing("servers.address")
	case s.Zone == "":
		return missing("servers.zone")
	case s.Slots < 1 || s.Slots > MaxSlots:
		return impossible("servers.slots", "is %d, must be 1 to %d", s.Slots, MaxSlots)
	case s.Connections < s.Slots:
		return impossible("servers.connections", "is %d, must be at least the server's slots (%d)", s.Connections, s.Slots)
	}
	return nil
}

func missing(key string) *FileError {
	return &FileError{Key: key, Code: result.MissingValue, Text: "a value is required"}
}

func impossible(key, format string, args ...any) *FileError {
	return &FileError{Key: key, Code: result.ImpossibleValue, Text: fmt.Sprintf(format, args...)}
}

// At sets Item, the index in the list that the key's first part names, and
// returns the error.
func (e *FileError) At(item int) *FileError {
	e.Item = item
	return e
}
