// Package lookup holds what an entry answers to a look-up: which entries to
// use for a service, and for how long the answer may be used.
//
// # Usage
//
//	var a lookup.Answer
//	if err := json.Unmarshal(data, &a); err != nil {
//		return err
//	}
//	if err := a.Check(); err != nil {
//		return err
//	}
//	first := a.Entries[0]
package lookup
