package loads

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Uses lists what one entry uses. In messages it is grouped by service and
// region, as in {"registry":{"fyn":12}}, and has neither order nor uses of no
// slots.
type Uses []Use

// grouped is the form of Uses in messages.
type grouped map[id.Service]map[id.Region]int

// MarshalJSON encodes the uses grouped by service and region.
func (u Uses) MarshalJSON() ([]byte, error) {
	out := grouped{}
	for _, use := range u {
		if use.Slots <= 0 {
			continue
		}
		if out[use.Service] == nil {
			out[use.Service] = map[id.Region]int{}
		}
		out[use.Service][use.Region] += use.Slots
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (u *Uses) UnmarshalJSON(data []byte) error {
	var in grouped
	if err := json.Unmarshal(data, &in); err != nil {
		return eris.Wrap(err, "uses")
	}
	*u = nil
	for service, regions := range in {
		for region, slots := range regions {
			*u = append(*u, Use{Service: service, Region: region, Slots: slots})
		}
	}
	return nil
}
