// Package quarantine stops requests that crash backend servers from being sent to
// more servers.
//
// A request is identified by its [Fingerprint]: service, method, path, the caller's
// idempotency key, the length of the body and the digest of the body if there is one.
// A [List] counts the sends of a fingerprint after which a backend server closed the
// connection without an answer. After the first crash report the fingerprint is on
// probation: the entry that detected the crash may send it again, one send at a time,
// and every other entry refuses it for a hold time. If another send, begun after the
// first crash, crashes its server too, all entries quarantine the fingerprint. A
// complete answer ends the probation, and both states expire.
//
// The entry that detects a crash notifies all other entries before it answers its
// caller, so that a caller that retries after the answer reaches entries that have
// the report. A List does no I/O; the current time is passed to each call.
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
//	// after a send that crashed the server:
//	notify(l.RecordCrash(now, fp, origin))
package quarantine
