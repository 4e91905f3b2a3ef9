// Package feed simulates a store.Feed in tests under testing/synctest. Its store can
// be restored from an older copy, and each of its clients has faults of its own.
//
// # Usage
//
//	s := feed.New(store.Version{Era: 1, Revision: 500})
//	c := &feed.Client{Store: s, Timeout: time.Second}
//	s.Put("i-1", "ready")
//	older := s.Copy()
//	s.Put("i-1", "leaving") // lost
//	s.SetUnavailable(true)
//	s.Restore(older)
//	s.SetUnavailable(false)
package feed
