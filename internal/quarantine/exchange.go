package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxExchanged is the maximum number of reports that entries exchange: those of the
	// fingerprints with the most crashes, of these the latest.
	MaxExchanged = 1000
	// exchangeMargin is how long before its expiry a report is no longer exchanged, so
	// that entries whose clocks differ don't send each other what they must drop.
	exchangeMargin = 2 * maxSkew
	// exchangeTTL is how long the exchanged reports are cached while the list is
	// unchanged; it delays the effect of their age.
	exchangeTTL = time.Second
	// emptyDigest is the digest of an empty list.
	emptyDigest Digest = 1
)

type (
	// ReportID identifies a report in exchanges between entries.
	ReportID uint64

	// Digest is a hash of the exchanged reports. Lists with the same reports have the
	// same digest. 0 is not the digest of any list.
	Digest uint64

	// exchange caches the reports that are exchanged with other entries.
	exchange struct {
		valid   bool
		at      time.Time
		reports []CrashReport // those with the most crashes first
		ids     []ReportID    // of the reports
		digest  Digest
	}
)

// ID returns the report's identity. A lift is identified by its time, whichever entry
// passes it on.
func (r *CrashReport) ID() ReportID {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(r.Fingerprint[:])
	if r.Lifted {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(r.At.UnixNano())))
	} else {
		_, _ = d.WriteString(r.crash())
	}
	return ReportID(d.Sum64())
}

// Digest returns the digest of the list.
func (l *List) Digest(now time.Time) Digest {
	if l.size.Load() == 0 {
		return emptyDigest
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchanged(now).digest
}

// ReportIDs returns the identities of the exchanged reports.
func (l *List) ReportIDs(now time.Time) []ReportID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.exchanged(now).ids)
}

// Reports returns at most limit of the reports that make up the list, for an entry that
// may not have received them: those of the fingerprints with the most crashes first, of
// these the latest first.
func (l *List) Reports(now time.Time, limit int) []CrashReport {
	return l.Missing(now, nil, limit)
}

// Missing returns at most limit of the exchanged reports that are not known, in the
// order of Reports.
func (l *List) Missing(now time.Time, known []ReportID, limit int) []CrashReport {
	has := make(map[ReportID]bool, len(known))
	for _, id := range known {
		has[id] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []CrashReport
	x := l.exchanged(now)
	for i := range x.reports {
		if len(out) < limit && !has[x.ids[i]] {
			out = append(out, x.reports[i])
		}
	}
	return out
}

// exchanged returns the reports that are exchanged with other entries. It drops the
// fingerprints that have expired.
func (l *List) exchanged(now time.Time) *exchange {
	if x := &l.exchange; x.valid && now.Sub(x.at) < exchangeTTL {
		return x
	}
	x := exchange{valid: true, at: now, digest: emptyDigest}
	crashes := make(map[Fingerprint]int, len(l.states))
	fresh := func(at time.Time) bool { return now.Sub(at) < l.retention()-exchangeMargin }
	for fp, s := range l.states {
		if now.Sub(s.lastReport) >= l.retention() {
			l.drop(fp)
			continue
		}
		crashes[fp] = len(s.reports)
		for i := range s.reports {
			if fresh(s.reports[i].At) {
				x.reports = append(x.reports, s.reports[i])
			}
		}
		if !s.liftedAt.IsZero() && fresh(s.liftedAt) {
			x.reports = append(x.reports, CrashReport{Fingerprint: fp, Instance: l.Instance, At: s.liftedAt, Lifted: true})
		}
	}
	slices.SortFunc(x.reports, func(a, b CrashReport) int {
		return cmp.Or(
			cmp.Compare(crashes[b.Fingerprint], crashes[a.Fingerprint]), b.At.Compare(a.At),
			slices.Compare(a.Fingerprint[:], b.Fingerprint[:]), cmp.Compare(a.Send, b.Send),
		)
	})
	x.reports = x.reports[:min(len(x.reports), MaxExchanged)]
	for i := range x.reports {
		id := x.reports[i].ID()
		x.ids = append(x.ids, id)
		x.digest ^= Digest(id)
	}
	if x.digest == 0 {
		x.digest = emptyDigest
	}
	l.exchange = x
	return &l.exchange
}
