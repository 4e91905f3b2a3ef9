package heartbeat

import "time"

// Receive applies a heartbeat without zones and entries.
func (d *Detector) Receive(now time.Time, n Node) { d.receive(now, &message{Format: format, From: n}) }
