package evenload

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotpier/shallotpier/internal/owner"
	"github.com/shallotpier/shallotpier/pkg/id"
)

const (
	// headerSize is the size of a group of notices: the scope of its objects in 16 bits,
	// their age in units of ageUnit, and their number. Each object follows in 64 bits.
	headerSize = 4
	keySize    = 8
	ageUnit    = 2 * time.Second
	// newNotices is the number of notices of an object after which it isn't a new one.
	newNotices = 2
)

// Scope identifies the objects of a service that may be owned in the same regions, in
// notices between entries.
func Scope(service id.Service, regions []id.Region) uint16 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	for _, r := range slices.Sorted(slices.Values(regions)) {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(r))
	}
	return uint16(d.Sum64()) //nolint:gosec // the lower bits are the hash
}

// AppendNotices appends notices of objects of the given scope, up to a total size, and
// returns the result. It prefers objects of which the fewest notices were given, so that all
// entries soon know new ones. Unless all is set, it leaves out objects of which some were.
func (p *Placement) AppendNotices(now time.Time, out []byte, scope uint16, regions []id.Region, size int, all bool) []byte {
	room := min((size-len(out)-headerSize)/keySize, math.MaxUint8)
	chosen := p.untold(now, p.allowed(regions), all)
	if room <= 0 || len(chosen) == 0 {
		return out
	}
	chosen = chosen[:min(len(chosen), room)]
	age := time.Duration(0)
	for _, o := range chosen {
		age = max(age, now.Sub(o.seen))
	}
	out = binary.BigEndian.AppendUint16(out, scope)
	out = append(out, byte((age+ageUnit-1)/ageUnit), byte(len(chosen)))
	for _, o := range chosen {
		o.notices++
		out = binary.BigEndian.AppendUint64(out, o.key)
	}
	return out
}

// untold returns the objects of the given regions, the ones with the fewest notices first.
func (p *Placement) untold(now time.Time, regions uint64, all bool) []*object {
	var out []*object
	for _, o := range p.objects {
		if o.regions == regions && now.Sub(o.seen) < objectTime && (all || o.notices < newNotices) {
			out = append(out, o)
		}
	}
	// The order differs between entries, so that those that know the same objects don't
	// tell of the same ones at the same time.
	slices.SortFunc(out, func(a, b *object) int {
		return cmp.Or(a.notices-b.notices, cmp.Compare(owner.Score(a.key, p.Entry), owner.Score(b.key, p.Entry)))
	})
	return out
}

// ReadNotices calls apply for each group of notices with its scope and the keys and age of
// its objects. It ignores a rest that is malformed.
func ReadNotices(data []byte, apply func(scope uint16, age time.Duration, keys []uint64)) {
	for len(data) >= headerSize {
		scope, age, n := binary.BigEndian.Uint16(data), time.Duration(data[2])*ageUnit, int(data[3])
		data = data[headerSize:]
		if len(data) < n*keySize {
			return
		}
		keys := make([]uint64, 0, n)
		for range n {
			keys = append(keys, binary.BigEndian.Uint64(data))
			data = data[keySize:]
		}
		apply(scope, age, keys)
	}
}

// Learn records objects that other entries have had requests on.
func (p *Placement) Learn(now time.Time, regions []id.Region, age time.Duration, keys []uint64) {
	if age >= objectTime {
		return
	}
	allowed := p.allowed(regions)
	for _, key := range keys {
		if o := p.object(identity{key, allowed}); o != nil && now.Add(-age).After(o.seen) {
			o.seen = now.Add(-age)
		}
	}
}
