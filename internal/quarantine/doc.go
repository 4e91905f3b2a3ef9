// Package quarantine stops requests that crash backend servers from being sent to
// more servers.
//
// A request is identified by its [Fingerprint] of those of its [Traits] that repeats of it
// share. A [List] counts the backend servers that closed the connection to a send of a
// fingerprint without a complete answer. After the first crash report the fingerprint is on
// probation: the entry that detected the crash may send it again, one send at a time,
// and every other entry refuses it for a hold time. If another send, begun after the
// first crash, crashes its server too, all entries quarantine the fingerprint. A
// complete answer ends the probation, and both states expire. A List that tolerates
// crashes ([List.Tolerated]) has no probation: it refuses a fingerprint after one crash
// more, and a complete answer ends that too. Crashes under sends that were all under way
// together are no reason to refuse it, however many: they may be one outage of several
// servers.
//
// Callers may send equal requests from several addresses, and equal requests of several
// callers may differ in effect. A crash can therefore be recorded twice: for the request
// with its caller, and for the request from any caller, with the former as
// [CrashReport.Of]. The latter is quarantined only after crashes of several callers.
//
// Reports may be applied in any order and any number of times: lists with the same
// reports are equal. An entry finds by [List.Digest] whether another one's list differs,
// and by [List.ReportIDs] and [List.Missing] what it lacks.
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
