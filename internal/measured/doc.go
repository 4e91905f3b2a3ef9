// Package measured carries values together with the time they were taken, so
// that no decision can read one without saying how old it may be.
//
// The zero [Value] is one that was never taken. A reader states the time and
// the greatest age it accepts and gets the value with a [State]; in any state
// but [Fresh] the returned value is the zero value, so a policy has to give
// its own answer for "unknown", which is never the most optimistic one.
//
// # Usage
//
//	load := measured.At(0.7, now)
//	v, state := load.Read(now.Add(time.Second), 5*time.Second)
//	if state != measured.Fresh {
//		// take the conservative path
//	}
package measured
