// Package health implements passive health checks: it decides from an entry's local
// state whether a backend server may get a request.
//
// There are three sources of information on a server. Its probe and its load report
// arrive late and may be wrong. The results of the entry's own requests are newer,
// but known at this entry alone. A [Tracker] combines the three into one decision,
// whether to send. If they disagree, the worse one decides:
//
//   - Two consecutive failures (no connection, or a connection closed before the
//     complete answer) eject the server. A single failure ejects a server that is on
//     trial.
//   - A shed request blocks further requests for a short time, which doubles while
//     requests are shed.
//   - A stalled connection, a late answer, a failed probe that is newer than the
//     last answer, or the lack of fresh information from any source, allow a trial
//     only.
//   - A fresh report that the server refuses new requests blocks it.
//   - A probe or report that is missing, stale, from the future or out of range is
//     ignored.
//
// An ejected server returns by a trial: one request at a time, after a backoff that
// doubles with each failure. A successful probe doesn't readmit it, since a server
// may answer probes and nothing else.
//
// # Usage
//
//	switch v, retryAfter := tracker.MaySend(now, probe, report); v {
//	case health.Yes:
//		send()
//	case health.Trial:
//		tracker.BeginTrial(now)
//		send() // a read, if there is a choice
//	default:
//		next(retryAfter)
//	}
//	tracker.Observe(now, health.Answered)
package health
