// Package lateness counts the requests that were answered late, by cause.
//
// A request is late if it was served and took longer than the latency objective of its
// route, or than a threshold. A [Tally] takes the requests of the logs in any order. Its
// [Report] assigns each late request to exactly one [Cause]:
//
//  1. If the request would have been in time without one of the waits that its entry has
//     measured (before the first send, to connect, for further sends), the longest of these.
//  2. Otherwise the first that applies: it is the first request on its object at its server
//     in the logs; the server had more requests than slots; the machine was slow.
//  3. Otherwise another entry has answered, or a wait made up half of the excess, or a
//     connection or a send failed.
//  4. Otherwise the server is in another zone or region than the entry.
//
// These are indications: a log doesn't show how long the work itself took. Requests that
// another entry has passed on are counted once, at the entry that the caller asked.
//
// # Usage
//
//	t := lateness.Tally{By: lateness.ByKind}
//	err := logread.Each(file, func(l *logread.Line) {
//		if r, ok := lateness.FromLine(l); ok {
//			t.Add(&r)
//		}
//	})
//	report := t.Report()
package lateness
