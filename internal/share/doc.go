// Package share divides something that all entries use together, such as the
// cap on a shift or a link's budget, into shares that never sum to more than
// the whole.
//
// Half of the whole is split evenly among the configured entries: each has this
// floor without asking. A [Plan], kept by one owner, moves the other half to
// the entries that lack most. An entry asks for its share now and then. Its ask
// states what it holds and voids the answers to all its earlier asks, so that
// the plan always knows an upper bound of what each entry holds, whatever
// messages were lost, doubled or late. An entry that hears nothing keeps what
// it has until the grant runs out on its own clock, counted from when it sent
// the ask; the plan counts it for longer, from when the ask came in.
//
// # Usage
//
//	// where the plan is kept
//	grant, ok := plan.Answer(now, ask)
//
//	// at the entry, if the answer is to its latest ask
//	rate := grant.Share * whole
//	until := askSent.Add(share.GrantTime)
package share
