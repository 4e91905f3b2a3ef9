// Package measured provides values that carry the time of their measurement, so that
// each reader has to state which age it accepts.
//
// The zero [Value] was never measured. A reader passes the current time and the
// maximum age that it accepts, and gets the value with a [State]. In any state but
// [Fresh] the returned value is the zero value, so the reader must define its
// behaviour for an unknown value, and must not assume the best case.
//
// # Usage
//
//	load := measured.At(0.7, now)
//	v, state := load.Read(now.Add(time.Second), 5*time.Second)
//	if state != measured.Fresh {
//		// use the conservative default
//	}
package measured
