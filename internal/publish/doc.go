// Package publish submits service files to the platform's store and says with
// certainty what became of them.
//
// A [Publication] is the whole set of service files under one version, with
// an id of its own. The one in force is the object "config/current"; each that
// was replaced is kept under "config/history/<version>". A publisher writes
// the history of the version in force before it replaces that version, so that
// every replaced version can be read back, also if publishers die in between.
//
// A submission is prepared first, which writes nothing: the submitted files
// replace those of the same service in the version in force, and the result is
// checked as a whole. The prepared [Draft] holds the difference and a
// [Ticket], which a caller should show before it submits: whoever holds the
// ticket can ask what became of the submission, also after the publisher died.
//
// Submitting is one conditional update. If its answer is lost, the publisher
// reads back and looks for the publication's own id; while the write may still
// be on its way, it sends the same update again, which can't take effect
// twice. [Outcome] is one of: accepted as a version; overtaken, with the
// winner and the difference to what the submission was based on; refused by
// the check; store unavailable, and nothing was written; not yet known, to be
// asked again with [Publisher.Find].
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
