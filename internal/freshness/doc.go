// Package freshness decides whether an entry's configuration was the newest one recently
// enough to accept the keys of organisations, and renews the proof of it.
//
// A proof is an answer of the store that was asked for at a moment, or the answer of another
// entry whose configuration is not newer and that holds a proof. Its moment is measured on
// the clock of [boottime], which keeps running while the machine is suspended. The moment is
// that of the question, so an answer that is late or repeated never proves more than one
// that arrives at once.
//
// [Tracker] holds the latest proof. [Schedule] decides when to ask whom next: the first live
// entries by name read the store, the leaders of each zone ask these, the others ask the
// leaders of their zone. Both are pure; [Loop] makes the calls.
//
// # Usage
//
//	l := &freshness.Loop{
//		Tracker: tracker, Schedule: freshness.Schedule{Self: self, Zone: zone}, Clock: boottime.System(),
//		Others: others, Version: version, Ask: ask, Read: read, Fetch: fetch, Log: log, Metrics: set,
//	}
//	exchange.Handle(datagram.Freshness, l.Answer)
//	go l.Run(ctx)
//	if tracker.Fresh(clock()) {
//		// keys of the configuration in force may be accepted
//	}
package freshness
