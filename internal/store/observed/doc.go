// Package observed counts the calls to the platform's store and notes since
// when it has been failing.
//
// # Usage
//
//	s := &observed.Store{Store: client}
//	...
//	r := s.Report()
//	log.Info("store", "calls", r.Calls, "failingSince", r.FailingSince)
package observed
