// Package lookup defines the JSON answers of an entry's lookup and ticket APIs:
// the entries to use for a service, and tickets for at-most-once requests, each
// with the time for which it is valid.
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
//	first := a.Entries[0] // if there is one
package lookup
