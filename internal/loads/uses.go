package loads

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
)

// Uses lists the uses of one entry. It is encoded in JSON as an object by service
// and region, such as {"registry":{"fyn":12}}. The encoding doesn't preserve
// order and omits uses without slots.
type Uses []Use

// grouped is the JSON form of Uses.
type grouped map[id.Service]map[id.Region]int

// MarshalJSON implements json.Marshaler.
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

// UnmarshalJSON implements json.Unmarshaler.
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
