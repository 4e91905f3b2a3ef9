// Package limiter enforces the limits of organisations at an entry: it decides on requests,
// asks the accountable entries for tokens, and answers the questions of others.
//
// The decisions are those of the packages bucket and holder, one of each for an organisation.
// Questions that no request waits for are delayed by a few milliseconds, so that one question
// to an accountable entry is for several organisations.
//
// # Usage
//
//	l := &limiter.Limiter{Clock: boottime.System(), Send: send, Log: log, Metrics: set}
//	exchange.Handle(datagram.Quota, l.Handle)
//	l.SetBounds(bounds)
//	l.SetOrganisations(organisations)
//	l.SetEntries(self, known)
//	l.SetLive(live)
//	l.SetGranting(true)
//	switch v := l.Take(ctx, name); v.Outcome {
package limiter
