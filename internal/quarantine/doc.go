// Package quarantine keeps requests that crash what runs them from more
// backend servers.
//
// A request is known by its [Fingerprint]: service, method, path, the caller's
// key, the length of the body and the digest of the body where there is one.
// A [List] counts the sends of a fingerprint after which a backend server
// ended the connection without an answer. After the first such sighting the
// fingerprint is on probation: the entry that saw it may send it once more,
// one send at a time, and every other entry refuses it for a while. When a
// send breaks that was begun after the first sighting, the fingerprint is
// quarantined by all. A whole answer ends the probation, and either state ends
// by itself.
//
// The entry that sees a crash tells all others before it answers its caller,
// so that a caller that sends again after an answer meets entries that know.
// A List decides without I/O; it takes the time with each call.
//
// # Usage
//
//	v := l.Check(now, fp)
//	if v.Refused {
//		return v.RetryAfter
//	}
//	if v.Probation {
//		defer l.Done(fp)
//	}
//	// a send that broke:
//	spread(l.Sight(now, fp, origin))
package quarantine
