// Package ratecheck checks that entries keep to the limits that backend servers name,
// from what servers and callers saw.
//
// In any window of 4 s a server may get one and a half times the requests that its limit
// allows, and 5 more, from the entries that had passed on an answer with the limit half a
// second before or earlier. The check begins some time after a server first named its
// limit. While a limit changes, the highest one within that time counts.
//
// # Usage
//
//	var r ratecheck.Record
//	r.Name("i-1", at, 2.5)
//	r.PassOn("i-1", "entry-1", at)
//	r.Arrive("i-1", "entry-1", at)
//	for _, v := range r.Violations(3 * time.Second) {
//		t.Error(v)
//	}
package ratecheck
