// Package result numbers every outcome that shallotpier reports, to callers,
// to operators and in its logs, and says of each whether the caller's request
// was run.
//
// A request ran, did not run, or nobody can tell. [No] is only reported where
// it is proved: no byte of the request left for a backend server, or the
// backend server itself answered that it shed the request. Everything else
// that ended without the backend server's whole answer is [Unknown].
//
// docs/RESULTS.md holds the table of codes; a test keeps it equal to [Codes].
//
// # Usage
//
//	code := result.NoCapacity
//	header.Set(result.HeaderCode, code.String())
//	header.Set(result.HeaderRan, code.Ran().String())
package result
