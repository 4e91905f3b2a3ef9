// Package shutdown implements the phases of graceful shutdown of an entry
// instance.
//
// Shutdown passes through the phases in order. While [Serving], the entry is in
// the answers to lookups. Once shutdown begins it is [Announced]: its peers
// omit it from new answers, but it still accepts new requests, because callers
// hold older answers that contain it. When the last such answer has expired, it
// is [Closed]: it rejects new requests and completes the running ones. It is
// [Done] when no request is running; there is no time limit, so that no upload
// is aborted.
//
// # Usage
//
//	seq := shutdown.Sequence{Validity: 10 * time.Second, Propagation: 3 * time.Second}
//	seq.Begin(now)
//	switch seq.Phase(now, running) {
//	case shutdown.Closed:
//		// reject new requests with result.EntryLeaving
//	case shutdown.Done:
//		// close the listeners and exit
//	}
package shutdown
