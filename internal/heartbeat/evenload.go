package heartbeat

import "time"

const (
	// noticePart is the part of a heartbeat by which notices for an even load may make it
	// longer.
	noticePart = 0.1
	// noticeFraming is the size of the keys and lengths of the two fields with notices.
	noticeFraming = 8
)

// addNotices adds notices for an even load to a heartbeat, as far as they make it longer by at
// most noticePart.
func (d *Detector) addNotices(now time.Time, m *message, round uint64) {
	if d.EvenLoad == nil {
		return
	}
	d.mu.Lock()
	size := int(float64(d.size)*noticePart) - noticeFraming
	d.mu.Unlock()
	if size > 0 {
		m.From.Objects, m.From.Paces = d.EvenLoad(now, round, size)
	}
}

// measure records the size of an encoded heartbeat.
func (d *Detector) measure(m *message, format uint8, size int) {
	if format != latestFormat {
		return
	}
	if notices := len(m.From.Objects) + len(m.From.Paces); notices > 0 {
		size -= notices + noticeFraming
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.size = size
}
