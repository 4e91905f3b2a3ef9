// Package store defines the interface of the platform's object store, the only
// persistent storage of the system.
//
// A [Store] holds objects by key. The store increases the version of an object
// with every write. A write may be conditional on the version last read, or on
// the key being absent. A watch waits until the version of an object differs
// from the one last read.
//
// The store may be restored from an older copy: the writes since are lost, and
// their revisions are given out again. A [Version] therefore holds the era too, the
// number of restores so far, and versions are compared as pairs.
//
// Every call has one of five results, which the calling code must distinguish:
// success; [ErrNotFound]; [ErrConflict], the condition did not hold and nothing
// was written; [ErrUnavailable], nothing was written; [ErrAmbiguous], a write
// may have taken effect, so the writer has to read the object back.
//
// # Usage
//
//	obj, err := s.Get(ctx, "config/current")
//	next, err := s.Put(ctx, "config/current", value, store.IfVersion(obj.Version))
//	if errors.Is(err, store.ErrAmbiguous) {
//		// read the object back and compare the publication id
//	}
package store
