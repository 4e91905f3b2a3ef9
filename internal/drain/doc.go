// Package drain empties backend servers that leave, and plans which may leave
// together.
//
// A [Server] is one leaving server as one entry sees it. From the notice on it
// gets nothing new. What runs goes on until the drain time is over, counted from
// the time of the notice and not from when the entry heard of it. For each
// request that still runs, [Server.Forecasts] tells beforehand whether it will
// end in time: by its deadline, or by the bytes that have moved so far. What
// can't be told is named as unknown.
//
// A [Plan] puts the servers of a nightly round into batches, so that in no
// batch a region's free slots fall under its floor. A server is given its drain
// time, its restart and its slow start before the next batch begins. A region
// of unknown load is left out of the round, and said so.
//
// # Usage
//
//	s := drain.NewServer(noticed, file.DrainTime.Std())
//	s.Begin(id, work)
//	s.Progress(id, bytes, now)
//	for _, f := range s.Forecasts(now) {
//		report(f.ID, f.Outcome, f.End)
//	}
//
//	plan := drain.NewPlan(now, job)
//	if !plan.Fits(time.Hour) {
//		// plan.Longest(time.Hour) is the drain time that would fit
//	}
package drain
