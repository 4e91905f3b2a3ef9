// Package ramp implements the slow start of a backend server that has just
// started, or of a region whose load has just increased considerably.
//
// A [Ramp] has a level between 0 and 1: the share of the slots that may be used.
// It starts low and follows the latency of the server's responses, relative to
// warm servers, and the warmth that the server reports. A step up requires
// responses since the last step that were about as fast as those of warm
// servers. Slow responses, shed requests and failures cause a step down. A
// reported warmth below 1 bounds the level. A report of a warm server only makes
// the steps larger, since it may be wrong.
//
// The zero Ramp is warm. A ramp ends after [MaxDuration] in any case, so that a
// server that is slow for another reason doesn't stay at a low level.
//
// # Usage
//
//	var r ramp.Ramp
//	r.Start(now)
//	r.Answered(latency) // for each response; r.Refused() for each shed or failed request
//	level := r.Step(now, warmLatency, reportedWarmth) // about once per second
//	usable := ramp.Slots(level, server.Slots)
package ramp
