// Package result defines the result codes that shallotpier reports to callers, to
// operators and in its logs. Each [Code] states whether the caller's request ran.
//
// A request ran ([Yes]), did not run ([No]), or this can't be determined
// ([Unknown]). No is reported only if it is certain: no byte of the request was
// sent to a backend server, or the backend server reported that it shed the
// request. Any other request without a complete answer of the backend server is
// Unknown.
//
// docs/RESULTS.md contains the table of codes; a test compares it with [Codes].
//
// # Usage
//
//	code := result.NoCapacity
//	header.Set(result.HeaderCode, code.String())
//	header.Set(result.HeaderRan, code.Ran().String())
package result
