// Package health forms an entry's opinion on whether a backend server may get
// a request.
//
// Three sources speak of a server. Its probe and its load report come late and
// may mislead. What the entry's own requests met is newer, but is known at this
// entry alone. An [Opinion] joins them for one decision, whether to send, and
// there the worse word wins:
//
//   - Two failures in a row (no connection, or a connection cut before the
//     whole answer) put the server out. So does one, if the server was on trial.
//   - A shed request keeps requests away for a short time, which doubles while
//     sheds go on.
//   - A connection that went silent, a late answer, a failed probe that is newer than the last
//     answer, or no fresh word from any source, allow a trial only.
//   - A fresh report that the server takes no more keeps it out.
//   - A probe or report that is missing, stale, from the future or impossible
//     says nothing, for or against.
//
// A server comes back by trial: one request at a time, after a time that
// doubles with each failure. A good probe doesn't bring it back, since a server
// may answer probes and nothing else.
//
// # Usage
//
//	switch v, retryAfter := op.MaySend(now, probe, report); v {
//	case health.Yes:
//		send()
//	case health.Trial:
//		op.BeginTrial(now)
//		send() // a read, if there is a choice
//	default:
//		next(retryAfter)
//	}
//	op.Observe(now, health.Answered)
package health
