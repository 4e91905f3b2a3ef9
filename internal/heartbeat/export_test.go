package heartbeat

import "time"

// Receive applies a heartbeat without zones and entries.
func (b *Detector) Receive(now time.Time, n Node) { b.receive(now, &message{Format: format, From: n}) }
