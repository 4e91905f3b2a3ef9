package replication

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Replica is one entry's copy of the steering configuration and of the lookup
// rows computed from it. It must be used by one goroutine only.
type Replica struct {
	epoch    uint64
	digest   uint64
	weights  []uint16
	leaving  []bool
	nearest  [][]Site
	rows     [][]Site
	blocksOf []map[Block]struct{}
	changed  []Block
	scratch  []byte
}

// NewReplica returns a replica at epoch 0 with every site at weight 1.
// nearest lists the sites of each client block, nearest first.
func NewReplica(sites int, nearest [][]Site) *Replica {
	r := &Replica{
		weights:  make([]uint16, sites),
		leaving:  make([]bool, sites),
		nearest:  make([][]Site, len(nearest)),
		rows:     make([][]Site, len(nearest)),
		blocksOf: make([]map[Block]struct{}, sites),
	}
	for s := range r.weights {
		r.weights[s] = 1
	}
	for b, list := range nearest {
		r.setNearest(Block(b), list)
		r.compute(Block(b))
	}
	return r
}

// Epoch returns the number of the last epoch applied.
func (r *Replica) Epoch() uint64 { return r.epoch }

// Digest returns the digest of the lookup rows. Replicas with the same rows
// have the same digest.
func (r *Replica) Digest() uint64 { return r.digest }

// Row returns the sites that a block may use, nearest first. The slice must not
// be modified and is valid until the next Apply.
func (r *Replica) Row(b Block) []Site { return r.rows[b] }

// Changed returns the blocks whose rows the last Apply recomputed. The slice is
// valid until the next Apply.
func (r *Replica) Changed() []Block { return r.changed }

// Apply applies the next epoch. It returns ErrOld or ErrGap without changing
// anything, an error for an invalid epoch, and ErrDiverged, after applying it,
// if the digests differ.
func (r *Replica) Apply(e *Epoch) error {
	switch {
	case e.Number <= r.epoch:
		return ErrOld
	case e.Number > r.epoch+1:
		return eris.Wrapf(ErrGap, "have %d, got %d", r.epoch, e.Number)
	}
	if err := e.Check(len(r.weights), len(r.nearest)); err != nil {
		return err
	}
	r.Advance(e.Changes)
	if r.digest != e.Digest {
		return eris.Wrapf(ErrDiverged, "epoch %d", e.Number)
	}
	return nil
}

// Advance applies changes as the next epoch without comparing digests, as the
// origin of an epoch does. The changes must be valid.
func (r *Replica) Advance(changes []Change) {
	r.changed = r.changed[:0]
	for i := range changes {
		r.applyChange(&changes[i])
	}
	slices.Sort(r.changed)
	r.changed = slices.Compact(r.changed)
	for _, b := range r.changed {
		r.compute(b)
	}
	r.epoch++
}

func (r *Replica) applyChange(c *Change) {
	switch c.Kind {
	case SetBlock:
		r.setNearest(c.Block, c.Sites)
		r.changed = append(r.changed, c.Block)
		return
	case SetLeaving:
		r.leaving[c.Site] = c.Weight == 0
	case SetWeight:
		r.weights[c.Site] = c.Weight
	}
	for b := range r.blocksOf[c.Site] {
		r.changed = append(r.changed, b)
	}
}

func (r *Replica) setNearest(b Block, sites []Site) {
	for _, s := range r.nearest[b] {
		delete(r.blocksOf[s], b)
	}
	r.nearest[b] = slices.Clone(sites)
	for _, s := range sites {
		if r.blocksOf[s] == nil {
			r.blocksOf[s] = map[Block]struct{}{}
		}
		r.blocksOf[s][b] = struct{}{}
	}
}

// compute computes the row of a block and updates the digest. A block whose
// sites are all unavailable keeps all of them.
func (r *Replica) compute(b Block) {
	if r.rows[b] != nil {
		r.digest -= r.hash(b)
	}
	row := make([]Site, 0, len(r.nearest[b]))
	for _, s := range r.nearest[b] {
		if !r.leaving[s] && r.weights[s] > 0 {
			row = append(row, s)
		}
	}
	if len(row) == 0 {
		row = append(row, r.nearest[b]...)
	}
	r.rows[b] = row
	r.digest += r.hash(b)
}

func (r *Replica) hash(b Block) uint64 {
	buf := binary.LittleEndian.AppendUint32(r.scratch[:0], uint32(b))
	for _, s := range r.rows[b] {
		buf = binary.LittleEndian.AppendUint32(buf, uint32(s))
	}
	r.scratch = buf
	return xxhash.Sum64(buf)
}
