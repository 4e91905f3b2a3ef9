package holder

import (
	"math"
	"time"

	"github.com/shallotpier/shallotpier/internal/boottime"
)

const (
	// fastSpan follows a rise of demand, slowSpan keeps single requests from looking like
	// demand.
	fastSpan = 100 * time.Millisecond
	slowSpan = 1500 * time.Millisecond
	// idleAfter is how long a gap ends a demand.
	idleAfter = time.Second
)

// demand estimates the rate of requests.
type demand struct {
	fast, slow float64 // a second
	at         boottime.Instant
	began      boottime.Instant
}

// count counts a request.
func (d *demand) count(now boottime.Instant) {
	elapsed := now.Sub(d.at)
	if d.at == 0 || elapsed > idleAfter {
		d.began = now
	}
	d.fast = d.fast*math.Exp(-elapsed.Seconds()/fastSpan.Seconds()) + 1/fastSpan.Seconds()
	d.slow = d.slow*math.Exp(-elapsed.Seconds()/slowSpan.Seconds()) + 1/slowSpan.Seconds()
	d.at = max(d.at, now)
}

// rate returns the rate to provide for.
func (d *demand) rate() float64 { return min(d.fast, 2*d.slow) }

// lasted returns for how long the demand has lasted.
func (d *demand) lasted(now boottime.Instant) time.Duration { return now.Sub(d.began) }

// fell records that tokens have expired unspent.
func (d *demand) fell(now boottime.Instant) { d.began = now }
