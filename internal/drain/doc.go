// Package drain tracks the connection draining of backend servers that leave, and
// plans which servers may leave at the same time.
//
// A [Server] is the view that one entry has of one leaving server. From the notice
// on the server gets no new requests. Running requests continue until the drain
// time has passed, counted from the time of the notice and not from when the entry
// received it. For each running request, [Server.Forecasts] predicts whether it
// will end in time, from its deadline or from the bytes transferred so far. A
// request that allows no prediction is reported as unknown.
//
// A [Plan] groups the servers of a nightly round into batches, so that in no batch
// the share of free slots of a region falls below the region's floor. The drain
// time, the restart and the slow start of a batch pass before the next batch
// begins. Servers in a region of unknown load are left out of the round, with a
// reason.
//
// # Usage
//
//	s := drain.NewServer(noticed, file.DrainTime.Std())
//	s.Begin(id, request)
//	s.Progress(id, bytes, now)
//	for _, f := range s.Forecasts(now) {
//		report(f.ID, f.Outcome, f.End)
//	}
//
//	plan := drain.NewPlan(now, job)
//	if !plan.Fits(time.Hour) {
//		// plan.MaxDrainTime(time.Hour) is the drain time that would fit
//	}
package drain
