package service

import (
	"fmt"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Bounds of the values in a service file.
const (
	// MaxSlots is the greatest number of slots of one backend server.
	MaxSlots = 10_000
	// MaxAttempts is the greatest number of sends of one request.
	MaxAttempts = 5
	// MaxDeadline is the longest deadline of a class.
	MaxDeadline = 24 * time.Hour
)

// Check tells the first thing that is wrong with the file, nil if nothing is.
// The returned problem has neither file name nor line.
func (f *File) Check() *FileError {
	checks := []func() *FileError{f.checkHead, f.checkRegions, f.checkClasses, f.checkServers}
	for _, check := range checks {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

func (f *File) checkHead() *FileError {
	switch {
	case f.Service == "":
		return missing("service")
	case f.ShiftCap.Rise <= 0:
		return impossible("shiftCap.rise", "must be above 0")
	case f.ShiftCap.Window <= 0:
		return impossible("shiftCap.window", "must be above 0")
	case f.DrainTime <= 0:
		return impossible("drainTime", "must be above 0")
	case f.Retry.Attempts < 1 || f.Retry.Attempts > MaxAttempts:
		return impossible("retry.attempts", "must be 1 to %d", MaxAttempts)
	case !(f.Retry.Budget >= 0 && f.Retry.Budget <= 1):
		return impossible("retry.budget", "must be 0 to 1")
	}
	return nil
}

func (f *File) checkRegions() *FileError {
	if len(f.Regions) == 0 {
		return missing("regions")
	}
	seen := map[id.Region]bool{}
	for i, r := range f.Regions {
		if p := r.check(); p != nil {
			return p.At(i)
		}
		if seen[r.Name] {
			return impossible("regions.name", "%q is named twice", r.Name).At(i)
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
		return impossible("regions.weight", "must be 0 or above")
	case !(r.HeadroomFloor >= 0 && r.HeadroomFloor < 1):
		return impossible("regions.headroomFloor", "must be 0 or above and below 1")
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
		if p := c.check(); p != nil {
			return p.At(i)
		}
		if seen[c.Name] {
			return impossible("classes.name", "%q is named twice", c.Name).At(i)
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
		return impossible("classes.kind", "%q: want read, write, once or upload", c.Kind)
	case len(c.Methods) == 0:
		return missing("classes.methods")
	case c.PathPrefix == "" || c.PathPrefix[0] != '/':
		return impossible("classes.pathPrefix", "must start with a slash")
	case c.Deadline <= 0 || c.Deadline.Std() > MaxDeadline:
		return impossible("classes.deadline", "must be above 0 and at most %s", MaxDeadline)
	case c.BodyLimit < 0:
		return impossible("classes.bodyLimit", "must be 0 or above")
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
		if p := s.check(); p != nil {
			return p.At(i)
		}
		if seen[s.Name] {
			return impossible("servers.name", "%q is named twice", s.Name).At(i)
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
		return impossible("servers.slots", "must be 1 to %d", MaxSlots)
	case s.Connections < s.Slots:
		return impossible("servers.connections", "must be at least the server's slots")
	}
	return nil
}

func missing(key string) *FileError {
	return &FileError{Key: key, Code: result.MissingValue, Text: "a value is required"}
}

func impossible(key, format string, args ...any) *FileError {
	return &FileError{Key: key, Code: result.ImpossibleValue, Text: fmt.Sprintf(format, args...)}
}

// At sets the position in the list that the problem stands in and returns it.
func (p *FileError) At(item int) *FileError {
	p.Item = item
	return p
}
