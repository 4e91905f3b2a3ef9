package upstream

import (
	"slices"
	"time"
)

const (
	// maxRecentIDs is how many ids are kept of a server.
	maxRecentIDs = 64
	// recentTime is how long they are kept after the latest of them.
	recentTime = time.Minute
)

// recentIDs holds the latest of the ids that were added. The nil value is empty.
type recentIDs struct {
	ids    []string // in no order once there are maxRecentIDs
	oldest int
	latest time.Time
}

func (r *recentIDs) add(now time.Time, reqID string) {
	r.latest = now
	if len(r.ids) < maxRecentIDs {
		r.ids = append(r.ids, reqID)
		return
	}
	r.ids[r.oldest] = reqID
	r.oldest = (r.oldest + 1) % maxRecentIDs
}

func (r *recentIDs) contains(reqID string) bool { return r != nil && slices.Contains(r.ids, reqID) }

func (r *recentIDs) expired(now time.Time) bool { return now.Sub(r.latest) >= recentTime }
