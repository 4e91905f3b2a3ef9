// Package leaving is the planned stop of an entry instance.
//
// A stop goes through phases that only move forward. While [Serving], the
// entry is in the answers to look-ups. Once the stop begins it is [Announced]:
// peers leave it out of new answers, but it still takes new requests, because
// callers hold older answers that name it. When the last such answer has run
// out it is [Closed] to new requests, and runs what it has to the end. It is
// [Done] when nothing runs any more; there is no time limit, so that no upload
// is cut.
//
// # Usage
//
//	stop := leaving.Stop{Validity: 10 * time.Second, Spread: 3 * time.Second}
//	stop.Begin(now)
//	switch stop.Phase(now, running) {
//	case leaving.Closed:
//		// refuse new requests with result.EntryLeaving
//	case leaving.Done:
//		// close the listeners and exit
//	}
package leaving
