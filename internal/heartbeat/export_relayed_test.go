package heartbeat

import "time"

// ReceiveRelayed applies a heartbeat of an entry that relays the state of another one.
func (d *Detector) ReceiveRelayed(now time.Time, from, relayed Node) {
	d.receive(now, &message{Format: latestFormat, From: from, Entries: []relayedNode{{Node: relayed}}})
}
