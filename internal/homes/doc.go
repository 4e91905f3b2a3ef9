// Package homes chooses which entry instance should be the home of which backend
// servers.
//
// Backend servers are bucketed by service and availability zone. Each bucket has
// one home, which divides the slots of its servers among the entries. The
// preferred home is an entry in the bucket's own zone, so that both tend to fail
// together, then one in its region, then any entry. Among equally near entries
// rendezvous hashing decides, so that every entry computes the same home from the
// same candidates and the loss of one entry moves only its own buckets.
//
// The result is only a preference. The actual home is the holder of the bucket's
// lease in the platform's store.
//
// # Usage
//
//	want, ok := homes.Choose(bucket, candidates)
//	if ok && want == self {
//		// try to acquire the bucket's lease
//	}
package homes
