// Package store speaks to the platform's object store, the only place where
// anything lasts.
//
// A [Store] holds objects by key. Each object has a version that the store
// raises with every write. A write may be conditional on the version last
// seen, or on the key being absent. A watch waits until an object has a
// version other than the one last seen.
//
// Every call ends in one of five ways, which callers must tell apart: it
// worked; [ErrNotFound]; [ErrConflict], the condition did not hold and nothing
// was written; [ErrUnavailable], nothing was written; [ErrAmbiguous], a write
// may have taken effect, so that the writer has to read back.
//
// # Usage
//
//	obj, err := s.Get(ctx, "config/current")
//	next, err := s.Put(ctx, "config/current", value, store.IfVersion(obj.Version))
//	if errors.Is(err, store.ErrAmbiguous) {
//		// read back and look for one's own publication id
//	}
package store
