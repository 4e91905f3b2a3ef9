package serverlimit

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	// freshTime is how long a limit that was named, changed or ended is reported before
	// the others.
	freshTime = 2 * time.Second
	// reportInterval is the time after which the next limits are reported, if there are
	// more than fit into a heartbeat.
	reportInterval = 500 * time.Millisecond
	// maxSkew is the greatest difference between the clocks of two entries.
	maxSkew = time.Minute
)

// Report is what an entry knows of a server's limit.
type Report struct {
	// Server and StartedAt identify the start of the server, see [Key].
	Server    id.Server `cbor:"1,keyasint"`
	StartedAt int64     `cbor:"2,keyasint,omitempty"`
	// Rate is the limit, 0 if it has ended.
	Rate unit.Rate `cbor:"3,keyasint,omitempty"`
	// At orders the reports of a server: the Unix time in milliseconds at which the
	// answer that says so arrived, or later if clocks differ.
	At int64 `cbor:"4,keyasint"`
}

// Check returns an error if the report is invalid, or too old or new at the given time.
func (r *Report) Check(now time.Time) error {
	age := now.Sub(time.UnixMilli(r.At))
	switch {
	case r.Server == "":
		return eris.New("report of a limit without a server")
	case !(r.Rate >= 0) || math.IsInf(float64(r.Rate), 0):
		return eris.Errorf("limit %g of server %s: want a finite number from 0", float64(r.Rate), r.Server)
	case age < -maxSkew || age >= retention:
		return eris.Errorf("limit of server %s is %v old, want %v to %v", r.Server, age, -maxSkew, retention)
	}
	return nil
}

// Apply applies the report of another entry that arrived now.
func (t *Table) Apply(now time.Time, r *Report, from id.Instance) error {
	if err := r.Check(now); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(Key{r.Server, r.StartedAt}, now, r.Rate, slog.String("instance", string(from)), func(l *limit, rate unit.Rate) {
		l.report(now, stamp(r.At), rate)
	})
	return nil
}

// Reports returns at most n reports for the other entries: first of the limits that have
// changed recently, then of the others in turn.
func (t *Table) Reports(now time.Time, n int) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var fresh, settled []Key
	for key, l := range t.limits {
		if now.Sub(l.changed) < freshTime {
			fresh = append(fresh, key)
		} else {
			settled = append(settled, key)
		}
	}
	keys := append(turn(now, fresh, n), turn(now, settled, n)...)
	out := make([]Report, 0, n)
	for _, key := range keys[:min(n, len(keys))] {
		rate, at := t.limits[key].newest()
		out = append(out, Report{Server: key.Server, StartedAt: key.StartedAt, Rate: rate, At: int64(at)})
	}
	return out
}

// turn returns n of the keys. It is the turn of other ones after each reportInterval.
func turn(now time.Time, keys []Key, n int) []Key {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	if len(keys) <= n {
		return keys
	}
	first := int(now.UnixNano()/int64(reportInterval)) * n % len(keys)
	return slices.Concat(keys[first:], keys[:first])[:n]
}
