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
	// freshTime is how long a limit that was named, changed or ended is reported beside
	// those whose turn it is.
	freshTime = 2 * time.Second
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

// Reports returns at most n reports for the other entries, of which up to half are of limits
// that have changed recently. Successive rounds report all limits in turn.
func (t *Table) Reports(now time.Time, round uint64, n int) []Report {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var all, fresh []Key
	for key, l := range t.limits {
		all = append(all, key)
		if now.Sub(l.changed) < freshTime {
			fresh = append(fresh, key)
		}
	}
	keys := turn(fresh, round, n/2)
	for _, key := range turn(all, round, n-n/2) {
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	out := make([]Report, 0, len(keys))
	for _, key := range keys {
		rate, at := t.limits[key].newest()
		out = append(out, Report{Server: key.Server, StartedAt: key.StartedAt, Rate: rate, At: int64(at)})
	}
	return out
}

// turn returns n of the keys, other ones in the next round.
func turn(keys []Key, round uint64, n int) []Key {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	if len(keys) <= n {
		return keys
	}
	first := int(round % uint64(len(keys)) * uint64(n) % uint64(len(keys)))
	return slices.Concat(keys[first:], keys[:first])[:n]
}
