// Package ramp brings load to what is cold in steps: a backend server that has
// just started, or a region that has just taken a big move.
//
// A [Ramp] has a level, 0 to 1: the part of the slots that may be used. It
// starts low and is driven by how the server answers, compared with how warm
// servers answer, and by what it reports of itself. A step up needs answers
// since the last step that were about as fast as warm ones; slow answers, shed
// requests and failures take a step down. A report that the server is cold
// bounds the level; a report that it is warm only makes the steps larger, since
// it may mislead.
//
// The zero Ramp is warm. A ramp ends by itself after a time, so that a server
// that is slow for another reason doesn't stay at a low level.
//
// # Usage
//
//	var r ramp.Ramp
//	r.Start(now)
//	r.Answered(latency) // for each answer; r.Refused() for each refusal
//	level := r.Step(now, warmLatency, reportedWarmth) // about once a second
//	usable := ramp.Slots(level, server.Slots)
package ramp
