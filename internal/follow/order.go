package follow

import "github.com/shallotpier/shallotpier/internal/store"

// order keeps answers that began to arrive before a later state was applied from replacing it.
// Large answers take seconds on slow links. The zero value is ready for use.
type order struct {
	// floor is the version of another entry's state that was applied, until the store's answers
	// have reached it.
	floor store.Version
	// held are the changes of answers that haven't.
	held []store.Change
	// read holds objects that were read by themselves, until answers have reached them.
	read map[string]store.Object
}

// bootstrapped records that another entry's state is applied.
func (o *order) bootstrapped(version store.Version) { *o = order{floor: version} }

// applyRead records that an object that was read by itself is applied.
func (o *order) applyRead(object store.Object) {
	if o.read == nil {
		o.read = make(map[string]store.Object)
	}
	o.read[object.Key] = object
}

// list returns the objects of a list with those that were read later, and false if the list is
// older than another entry's state that was applied. Only one list is left out for such a state: if
// the next one is older too, the store has lost changes.
func (o *order) list(all []store.Object, covered store.Version) ([]store.Object, bool) {
	read, tooOld := o.read, covered.Before(o.floor)
	*o = order{}
	if tooOld {
		return nil, false
	}
	for key, later := range read {
		if !covered.Before(later.Version) {
			continue
		}
		o.applyRead(later)
		found := false
		for i := range all {
			if all[i].Key == key {
				all[i], found = later, true
			}
		}
		if !found {
			all = append(all, later)
		}
	}
	return all, true
}

// changes returns the changes to apply after an answer to a watch. Changes up to another entry's
// state are held until all are known: one by one, they would replace it by older states.
func (o *order) changes(changes []store.Change, covered store.Version) []store.Change {
	if !o.floor.IsZero() {
		o.held = append(o.held, changes...)
		if covered.Before(o.floor) {
			return nil
		}
		changes = latestOnly(o.held)
		o.floor, o.held = store.Version{}, nil
	}
	if len(o.read) == 0 {
		return changes
	}
	due := make([]store.Change, 0, len(changes))
	for i := range changes {
		if c := &changes[i]; !c.Version.Before(o.read[c.Key].Version) {
			due = append(due, *c)
		}
	}
	for key, later := range o.read {
		if !covered.Before(later.Version) {
			delete(o.read, key)
		}
	}
	return due
}

// latestOnly returns the latest change of each object, in their order.
func latestOnly(changes []store.Change) []store.Change {
	last := make(map[string]int, len(changes))
	for i := range changes {
		last[changes[i].Key] = i
	}
	out := make([]store.Change, 0, len(last))
	for i := range changes {
		if last[changes[i].Key] == i {
			out = append(out, changes[i])
		}
	}
	return out
}
