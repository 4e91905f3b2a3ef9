// Package observed wraps the platform's store, counts the calls to it and
// records since when it has been failing.
//
// # Usage
//
//	s := &observed.Store{Store: client}
//	...
//	r := s.Report()
//	log.Info("store", "calls", r.Calls, "failingSince", r.FailingSince)
package observed
