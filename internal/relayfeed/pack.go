package relayfeed

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/packing"
)

// maxKeptAnswers limits the packed answers that are kept: entries that follow through
// this one ask for the same changes at the same time.
const maxKeptAnswers = 4

type (
	// packer keeps packed answers. It is safe for concurrent use.
	packer struct {
		mu   sync.Mutex
		kept []packed // most recently used last
	}

	// packed is a packed answer.
	packed struct {
		digest uint64 // of the changes
		data   []byte
	}
)

// apply packs the changes of an answer if they are large. An answer that can't be packed stays
// as it is.
func (p *packer) apply(a *answer, by *packing.Packer) {
	size := 0
	for i := range a.Changes {
		size += len(a.Changes[i].Value)
	}
	if size < packing.MinSize {
		return
	}
	a.Changes = latestOnly(a.Changes)
	digest := digestOf(a.Changes)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.kept {
		if k := p.kept[i]; k.digest == digest {
			p.kept = append(append(p.kept[:i:i], p.kept[i+1:]...), k)
			a.Changes, a.Packed = nil, k.data
			return
		}
	}
	raw, err := cbor.Marshal(a.Changes)
	if err != nil {
		return
	}
	data, err := by.Pack(raw)
	if err != nil {
		return
	}
	p.kept = append(p.kept, packed{digest, data})
	p.kept = p.kept[max(len(p.kept)-maxKeptAnswers, 0):]
	a.Changes, a.Packed = nil, data
}

// unpack replaces the packed changes of an answer by the changes.
func (a *answer) unpack() error {
	if len(a.Packed) == 0 {
		return nil
	}
	raw, err := packing.Unpack(a.Packed)
	if err != nil {
		return eris.Wrap(err, "unpack changes")
	}
	a.Packed = nil
	return eris.Wrap(cbor.Unmarshal(raw, &a.Changes), "decode changes")
}

// latestOnly returns the latest change of each object, in their order.
func latestOnly(changes []change) []change {
	last := make(map[string]int, len(changes))
	for i := range changes {
		last[changes[i].Key] = i
	}
	out := make([]change, 0, len(last))
	for i := range changes {
		if last[changes[i].Key] == i {
			out = append(out, changes[i])
		}
	}
	return out
}

// digestOf returns a hash of changes. Versions don't identify the values: a restored store that
// sends no era gives them out again.
func digestOf(changes []change) uint64 {
	var d xxhash.Digest
	d.Reset()
	for i := range changes {
		c := &changes[i]
		var fields [25]byte
		binary.BigEndian.PutUint64(fields[:], uint64(c.Version.Era))
		binary.BigEndian.PutUint64(fields[8:], uint64(c.Version.Revision))
		binary.BigEndian.PutUint64(fields[16:], uint64(len(c.Value)))
		if c.Removed {
			fields[24] = 1
		}
		_, _ = d.WriteString(c.Key)
		_, _ = d.Write(fields[:])
		_, _ = d.Write(c.Value)
	}
	return d.Sum64()
}
