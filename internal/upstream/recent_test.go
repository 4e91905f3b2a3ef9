package upstream

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The ids of failures must not be kept without end.
func TestRecentIDs(t *testing.T) {
	is := is.New(t)
	var none *recentIDs
	is.True(!none.contains("0"))
	var r recentIDs
	now := time.Now()
	for k := range 3 * maxRecentIDs {
		r.add(now, strconv.Itoa(k))
	}
	is.Equal(len(r.ids), maxRecentIDs)
	is.True(r.contains(strconv.Itoa(2 * maxRecentIDs)))
	is.True(!r.contains(strconv.Itoa(2*maxRecentIDs - 1)))
	is.True(!r.expired(now.Add(recentTime - 1)))
	is.True(r.expired(now.Add(recentTime)))
}
