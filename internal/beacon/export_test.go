package beacon

import "time"

// Take takes in a beacon that tells of its sender alone.
func (b *Beacon) Take(now time.Time, n Node) { b.take(now, &message{Format: format, From: n}) }
