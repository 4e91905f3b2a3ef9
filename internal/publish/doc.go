// Package publish submits service files to the platform's store and determines
// the outcome of each submission.
//
// A [Publication] is the whole set of service files under one version, with a
// unique id. The active publication is the object "config/current"; replaced
// ones are kept under "config/history/<version>". A publisher writes the
// history entry of the active version before it replaces that version, so that
// every replaced version can be read back, even if a publisher crashes in
// between.
//
// A submission is prepared first, which writes nothing: the submitted files
// replace those of the same service in the active version, and the result is
// validated as a whole. The prepared [Draft] holds the difference and a
// [Ticket]. A program should print the ticket before it submits the draft: the
// ticket identifies the submission, so that its outcome can be queried even
// after the publisher has crashed.
//
// Submitting is one conditional update. If its answer is lost, the publisher
// reads the object back and compares the publication id; while the write may
// still be in flight, it retries the same update, which can't take effect
// twice. An [Outcome] is one of: accepted as a version; overtaken, with the
// winner and what it changed in the base of the submission; refused by the
// check; store unavailable, with nothing written; not yet known, to be queried
// again with [Publisher.Find].
//
// # Usage
//
//	p := &publish.Publisher{Store: s, Author: "nino"}
//	draft, refused := p.Prepare(ctx, publish.Submission{Files: files})
//	if refused != nil {
//		return refused
//	}
//	fmt.Println(draft.Difference, draft.Ticket)
//	outcome := p.Submit(ctx, draft)
package publish
