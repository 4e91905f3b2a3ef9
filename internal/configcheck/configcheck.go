package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/internal/quota"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// Parts of a configuration.
const (
	// Whole is the configuration itself.
	Whole Part = ""
	// Route is a route.
	Route Part = "route"
	// Service is a service.
	Service Part = "service"
	// Organisation is an organisation, whose fields are those of [organisation.Field].
	Organisation Part = "organisation"
)

// Fields of a route, a service or the configuration.
const (
	// Version is the version of the configuration.
	Version Field = "version"
	// MaxBody is the longest body of a request.
	MaxBody Field = "maxBody"
	// IdleTimeout is the idle timeout of callers' connections.
	IdleTimeout Field = "idleTimeout"
	// Host is the host of a route.
	Host Field = "host"
	// Prefix is the prefix of a route.
	Prefix Field = "prefix"
	// Kind is the kind of a route's requests.
	Kind Field = "kind"
	// Parts are the services of a route.
	Parts Field = "parts"
	// Regions are the allowed regions of a route.
	Regions Field = "regions"
	// Attempts is the maximum number of sends of a request.
	Attempts Field = "attempts"
	// Timeout is the time limit of a route's requests.
	Timeout Field = "timeout"
	// Objective is the latency objective of a route.
	Objective Field = "objective"
	// Priority is the priority of a route.
	Priority Field = "priority"
	// Affinity is the session affinity of a route.
	Affinity Field = "affinity"
	// Public is whether a route needs no key.
	Public Field = "public"
	// ColdTime is the duration of the slow start of a service's servers.
	ColdTime Field = "coldTime"
	// ColdRate is the rate of a server during its slow start.
	ColdRate Field = "coldRate"
)

// Severities.
const (
	// Error means that the configuration, or a part of it, doesn't work.
	Error Severity = "error"
	// Warning means that it works, though probably not as meant.
	Warning Severity = "warning"
)

type (
	// Part is a part of a configuration.
	Part string

	// Field names a field of a part.
	Field string

	// Severity tells whether a part of the configuration works.
	Severity string

	// Subject is what a finding is about.
	Subject struct {
		// Part is the part, and Name its name, empty for the whole.
		Part Part
		Name string
		// Field is the field, empty for all of the part.
		Field Field
	}

	// Finding is a mistake in a configuration.
	Finding struct {
		// Subject is what the finding is about.
		Subject Subject `json:"-"`
		// File is the file's name, Line the line, counted from 1, 0 if it is not known.
		File string `json:"file"`
		Line int    `json:"line,omitempty"`
		// Key is the key in the file.
		Key string `json:"key"`
		// Code is the result code, 4000 to 4004.
		Code result.Code `json:"code"`
		// Severity tells whether the configuration works.
		Severity Severity `json:"severity"`
		// Text describes the mistake.
		Text string `json:"text"`
	}

	// Config is a decoded configuration. Parts that can't be decoded are missing.
	Config struct {
		// Version is the version, 0 if it is malformed.
		Version id.Version
		// Routes are the routes.
		Routes []*route.Route
		// Services are the services.
		Services map[id.Service]roster.ServiceConfig
		// Organisations are the organisations, nil if there are none.
		Organisations *organisation.Table
		// MaxBody is the longest body in bytes, 0 for no limit.
		MaxBody int64
		// IdleTimeout is the idle timeout of callers' connections.
		IdleTimeout time.Duration
		// Regions are the regions that have a zone, nil if these are not known.
		Regions map[id.Region]bool
	}

	// checker collects findings.
	checker struct {
		*Config
		found []Finding
	}
)

// String formats the finding as "file:line: key: severity: text (code N)".
func (f *Finding) String() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key != "" {
		where += ": " + f.Key
	}
	return fmt.Sprintf("%s: %s: %s (code %d)", where, f.Severity, f.Text, f.Code)
}

// Check returns the mistakes in the configuration, without file, line and key.
func (c *Config) Check() []Finding {
	k := &checker{Config: c}
	routes := slices.SortedFunc(slices.Values(c.Routes), func(a, b *route.Route) int { return strings.Compare(a.Name, b.Name) })
	for _, r := range routes {
		k.checkMatch(r)
		k.checkParts(r)
		k.checkLimits(r)
		k.checkRegions(Subject{Route, r.Name, Regions}, r.Regions)
	}
	k.checkHidden(routes)
	k.checkServices()
	k.checkOrganisations()
	if c.MaxBody < 0 {
		k.add(Error, Subject{Field: MaxBody}, result.ImpossibleValue, "is %d, want 0 or above", c.MaxBody)
	}
	return k.found
}

func (k *checker) add(severity Severity, s Subject, code result.Code, format string, args ...any) {
	k.found = append(k.found, Finding{Subject: s, Code: code, Severity: severity, Text: fmt.Sprintf(format, args...)})
}

func (k *checker) checkMatch(r *route.Route) {
	if r.Host == "" {
		k.add(Error, Subject{Route, r.Name, Host}, result.MissingValue, "is empty: no request matches the route")
	}
	switch prefix := (Subject{Route, r.Name, Prefix}); {
	case !strings.HasPrefix(r.Prefix, "/"):
		k.add(Error, prefix, result.ImpossibleValue, "%q does not begin with a slash: no request matches the route", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		k.add(Error, prefix, result.ImpossibleValue, "%q does not end with a slash: entries reject the configuration if another entry sends it", r.Prefix)
	}
}

// checkHidden finds routes with the host and prefix of another one.
func (k *checker) checkHidden(sorted []*route.Route) {
	type match struct{ host, prefix string }
	first := make(map[match]*route.Route, len(sorted))
	for _, r := range sorted {
		m := match{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[m]; ok {
			k.add(Error, Subject{Route, r.Name, Prefix}, result.ImpossibleValue,
				"has the host and prefix of route %q: only one of them gets requests, which may differ between entries", other.Name)
			continue
		}
		first[m] = r
	}
}

func (k *checker) checkParts(r *route.Route) {
	subject := Subject{Route, r.Name, Parts}
	sum := 0
	for _, p := range r.Parts {
		sum += max(p.Weight, 0)
		if p.Weight < 0 {
			k.add(Error, subject, result.ImpossibleValue, "service %q has a weight below 0", p.Service)
		}
		if _, ok := k.Services[p.Service]; !ok && k.Services != nil {
			k.add(Error, subject, result.ImpossibleValue, "service %q is unknown", p.Service)
		}
	}
	if sum == 0 {
		k.add(Error, subject, result.ImpossibleValue, "no service has a weight: no request can be sent")
	}
}

func (k *checker) checkLimits(r *route.Route) {
	if r.Attempts < 1 {
		k.add(Warning, Subject{Route, r.Name, Attempts}, result.ImpossibleValue, "is %d: requests are still sent once", r.Attempts)
	}
	switch timeout := (Subject{Route, r.Name, Timeout}); {
	case r.Timeout < 0:
		k.add(Error, timeout, result.ImpossibleValue, "is %v, want 0 or above", r.Timeout)
	case r.Timeout > 0 && r.Timeout < r.Objective:
		k.add(Warning, timeout, result.ImpossibleValue, "is %v, shorter than the latency objective of %v", r.Timeout, r.Objective)
	}
	if r.Objective < 0 {
		k.add(Error, Subject{Route, r.Name, Objective}, result.ImpossibleValue, "is %v, want 0 or above", r.Objective)
	}
}

// checkRegions finds regions without a zone.
func (k *checker) checkRegions(s Subject, regions []id.Region) {
	if k.Regions == nil || len(regions) == 0 {
		return
	}
	severity := Error
	var unknown []id.Region
	for _, r := range regions {
		if k.Regions[r] {
			severity = Warning
			continue
		}
		unknown = append(unknown, r)
	}
	if len(unknown) > 0 {
		k.add(severity, s, result.ImpossibleValue, "no zone is in %q", unknown)
	}
}

func (k *checker) checkServices() {
	used := make(map[id.Service]bool)
	for _, r := range k.Routes {
		for _, p := range r.Parts {
			used[p.Service] = used[p.Service] || p.Weight > 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(k.Services)) {
		if !used[name] {
			k.add(Warning, Subject{Part: Service, Name: string(name)}, result.ImpossibleValue, "gets no requests: no route has it with a weight")
		}
		switch s := k.Services[name]; {
		case s.ColdTime < 0:
			k.add(Error, Subject{Service, string(name), ColdTime}, result.ImpossibleValue, "is %v, want 0 or above", s.ColdTime)
		case s.ColdRate < 0:
			k.add(Error, Subject{Service, string(name), ColdRate}, result.ImpossibleValue, "is %g, want 0 or above", s.ColdRate)
		case s.ColdTime == 0 && s.ColdRate > 0:
			k.add(Warning, Subject{Service, string(name), ColdRate}, result.ImpossibleValue, "is %g without a duration of slow start, so that it has no effect", s.ColdRate)
		}
	}
}

func (k *checker) checkOrganisations() {
	for _, p := range k.Organisations.Problems() {
		subject := Subject{Organisation, p.Organisation, Field(p.Field)}
		if _, ok := k.Organisations.Named(id.Organisation(p.Organisation)); ok && p.Field == organisation.FieldKeys {
			k.add(Error, subject, result.ImpossibleValue, "%s, so that it is rejected", p.Reason)
			continue
		}
		k.add(Error, subject, result.ImpossibleValue, "%s: the organisation is left out", p.Reason)
	}
	anywhere, allowed := k.allowedRegions()
	for _, o := range k.Organisations.All() {
		k.checkOrganisation(o)
		if !anywhere && !o.Shares(allowed) && len(k.Routes) > 0 {
			k.add(Error, Subject{Organisation, string(o.Name), Field(organisation.FieldRegions)}, result.ImpossibleValue,
				"%q have nothing in common with the regions of any route", o.Regions)
		}
	}
}

// allowedRegions returns the regions that any route allows, or true if a route allows all.
func (k *checker) allowedRegions() (anywhere bool, regions []id.Region) {
	set := make(map[id.Region]bool)
	for _, r := range k.Routes {
		if len(r.Regions) == 0 {
			return true, nil
		}
		for _, region := range r.Regions {
			set[region] = true
		}
	}
	return false, slices.Sorted(maps.Keys(set))
}

func (k *checker) checkOrganisation(o *organisation.Organisation) {
	field := func(f organisation.Field) Subject { return Subject{Organisation, string(o.Name), Field(f)} }
	if len(o.Keys) == 0 {
		k.add(Warning, field(organisation.FieldKeys), result.MissingValue, "has no keys, so that no request belongs to it")
	}
	switch {
	case o.Rate == 0 && o.Burst > 0:
		k.add(Warning, field(organisation.FieldBurst), result.ImpossibleValue, "is %g without a rate, so that there is no limit", o.Burst)
	case o.Rate > 0 && o.Burst < quota.Parts:
		k.add(Warning, field(organisation.FieldBurst), result.ImpossibleValue,
			"is %g: a rate is divided among %d entries, each of which needs a burst of at least 1", o.Burst, quota.Parts)
	}
	k.checkRegions(field(organisation.FieldRegions), o.Regions)
}

// Sort sorts findings by file, line and key.
func Sort(all []Finding) {
	slices.SortStableFunc(all, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), strings.Compare(a.Key, b.Key))
	})
}
