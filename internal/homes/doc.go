// Package homes says which entry instance should be home of which backend
// servers.
//
// Backend servers are bucketed by service and availability zone; each bucket
// has one home, which divides the slots of its servers among the entries. The
// home should stand in the bucket's own zone, so that both tend to fall
// together, else in its region, else anywhere. Among equals a hash decides, so
// that every entry computes the same answer from the same candidates and the
// loss of one entry moves only its own buckets.
//
// The answer is a wish: who is home is what the lease in the platform's store
// says.
//
// # Usage
//
//	want, ok := homes.Choose(bucket, candidates)
//	if ok && want == self {
//		// try to take the bucket's lease
//	}
package homes
