// Package share divides a resource that all entries use together, such as a shift
// cap or a link budget, into shares that never sum to more than the whole.
//
// Half of the resource is split evenly among the configured entries: each has
// this floor without a request. A [Plan], kept by a single owner, assigns the
// other half to the entries in proportion to their demand. Each entry
// periodically sends a [Request] to the owner. The request states the share that
// the entry holds and invalidates the responses to all its earlier requests, so
// that the plan always has an upper bound of the share of each entry even if
// messages are lost, duplicated or delayed. An entry that receives no response
// keeps its share until the grant expires on its own clock, counted from the time
// at which it sent the request. The plan counts the share for longer, from the
// time at which it received the request.
//
// # Usage
//
//	// at the owner of the plan
//	grant, ok := plan.Answer(now, request)
//
//	// at the entry, if the grant answers its latest request
//	rate := grant.Share * whole
//	until := requestSent.Add(share.GrantTime)
package share
