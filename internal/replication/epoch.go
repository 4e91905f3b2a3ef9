package replication

import (
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Kinds of changes.
const (
	// SetWeight sets the weight of a site.
	SetWeight Kind = "setWeight"
	// SetLeaving marks a site as leaving if Weight is 0, and as available again
	// if Weight is 1.
	SetLeaving Kind = "setLeaving"
	// SetBlock sets the sites of a client block, nearest first.
	SetBlock Kind = "setBlock"
)

// MaxWeight is the maximum weight of a site.
const MaxWeight = 1000

// Errors of Apply; compare with errors.Is.
var (
	// ErrOld means that the epoch has already been applied; nothing was
	// changed.
	ErrOld = eris.New("epoch is already applied")
	// ErrGap means that an earlier epoch is missing; nothing was changed.
	ErrGap = eris.New("an earlier epoch is missing")
	// ErrDiverged means that the digest after the epoch differs from that of
	// the epoch's origin.
	ErrDiverged = eris.New("state diverged from the epoch's origin")
)

type (
	// Kind is the kind of a change.
	Kind string

	// Site numbers a site of a deployment.
	Site uint32

	// Block numbers a client block.
	Block uint32

	// Change is one change of the steering configuration.
	Change struct {
		// Version is the configuration version that contains the change.
		Version id.Version `json:"version" cbor:"1,keyasint"`
		// Kind is the kind of the change.
		Kind Kind `json:"kind" cbor:"2,keyasint"`
		// Site is the site of a SetWeight or SetLeaving.
		Site Site `json:"site,omitempty" cbor:"3,keyasint,omitempty"`
		// Weight is the site's new weight, 0 to MaxWeight.
		Weight uint16 `json:"weight,omitempty" cbor:"4,keyasint,omitempty"`
		// Block is the block of a SetBlock.
		Block Block `json:"block,omitempty" cbor:"5,keyasint,omitempty"`
		// Sites lists the sites of a SetBlock, nearest first.
		Sites []Site `json:"sites,omitempty" cbor:"6,keyasint,omitempty"`
	}

	// Epoch is a batch of changes in their serial order.
	Epoch struct {
		// Number is consecutive and starts at 1.
		Number uint64 `json:"number" cbor:"1,keyasint"`
		// Changes are applied in this order.
		Changes []Change `json:"changes" cbor:"2,keyasint"`
		// Digest is the origin's digest after the epoch.
		Digest uint64 `json:"digest,string" cbor:"3,keyasint"`
	}
)

// Check returns an error if a decoded epoch is invalid. sites and blocks are
// the numbers of sites and client blocks of the deployment.
func (e *Epoch) Check(sites, blocks int) error {
	if e.Number == 0 {
		return eris.New("epoch has no number")
	}
	for i := range e.Changes {
		if err := e.Changes[i].check(sites, blocks); err != nil {
			return eris.Wrapf(err, "epoch %d, change %d", e.Number, i)
		}
	}
	return nil
}

func (c *Change) check(sites, blocks int) error {
	switch c.Kind {
	case SetWeight, SetLeaving:
		if int(c.Site) >= sites || c.Weight > MaxWeight {
			return eris.Errorf("site %d or weight %d is out of range", c.Site, c.Weight)
		}
	case SetBlock:
		if int(c.Block) >= blocks || len(c.Sites) == 0 {
			return eris.Errorf("block %d is out of range or has no site", c.Block)
		}
		for _, s := range c.Sites {
			if int(s) >= sites {
				return eris.Errorf("site %d is out of range", s)
			}
		}
	default:
		return eris.Errorf("unknown kind %q", c.Kind)
	}
	return nil
}
