// Package configcheck finds mistakes in a configuration before it is sent, and what differs
// between two configurations.
//
// [Config.Check] finds what decodes but doesn't work: routes and services that can never get
// requests, limits that contradict each other, organisations that are left out or rejected
// everywhere. [Compare] lists what was added, removed and changed; keys appear as
// fingerprints only.
//
// A [Subject] names what a finding is about without the field names of a file's format.
// Whoever decodes the file sets file, line and key of each finding.
//
// # Usage
//
//	for _, f := range config.Check() {
//		f.Key, f.Line = locate(f.Subject)
//	}
//	changes := configcheck.Compare(inForce, config)
package configcheck
