package deployment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// Deployment is the world of one user's entries.
	Deployment struct {
		// Name names the deployment.
		Name string `toml:"name" json:"name"`
		// Regions lists the regions with their availability zones.
		Regions []Region `toml:"regions" json:"regions"`
		// Links lists the links between regions, each for both directions.
		Links []Link `toml:"links" json:"links"`
		// Delays holds the one-way delays.
		Delays Delays `toml:"delays" json:"delays"`
		// Entries lists the entry instances.
		Entries []Entry `toml:"entries" json:"entries"`
		// StoreRegion is the region that the platform's store stands in.
		StoreRegion id.Region `toml:"storeRegion" json:"storeRegion"`
	}

	// Region is a region with its availability zones.
	Region struct {
		// Name names the region.
		Name id.Region `toml:"name" json:"name"`
		// Zones lists its availability zones.
		Zones []id.Zone `toml:"zones" json:"zones"`
	}

	// Link joins two regions; each direction has the whole capacity.
	Link struct {
		// Between holds the two regions.
		Between [2]id.Region `toml:"between" json:"between"`
		// Capacity is what each direction carries.
		Capacity unit.BitRate `toml:"capacity" json:"capacity"`
		// Share is the part of it, 0 to 1, that entries may use.
		Share float64 `toml:"share" json:"share"`
	}

	// Delays holds one-way delays.
	Delays struct {
		// Zones is between two availability zones of a region.
		Zones unit.Duration `toml:"zones" json:"zones"`
		// Regions is between two regions.
		Regions unit.Duration `toml:"regions" json:"regions"`
		// Clients is between clients and an entry.
		Clients unit.Duration `toml:"clients" json:"clients"`
	}

	// Entry is an entry instance.
	Entry struct {
		// Name is the instance's name in the platform's list.
		Name id.Instance `toml:"name" json:"name"`
		// Zone is the availability zone it stands in.
		Zone id.Zone `toml:"zone" json:"zone"`
		// Caller is the address of its callers' listener.
		Caller netip.AddrPort `toml:"caller" json:"caller"`
		// Peer is the address of its peers' listener.
		Peer netip.AddrPort `toml:"peer" json:"peer"`
	}
)

// Parse decodes and checks a deployment file. The error is a
// *service.FileError.
func Parse(name string, data []byte) (*Deployment, error) {
	d := new(Deployment)
	if err := service.Decode(name, data, d); err != nil {
		return nil, err
	}
	if p := d.Check(); p != nil {
		return nil, p.Locate(name, data)
	}
	return d, nil
}

// Region returns the region that a zone belongs to.
func (d *Deployment) Region(zone id.Zone) (id.Region, bool) {
	for i := range d.Regions {
		for _, z := range d.Regions[i].Zones {
			if z == zone {
				return d.Regions[i].Name, true
			}
		}
	}
	return "", false
}

// Link returns the link between two regions, nil if they are one or have none.
func (d *Deployment) Link(a, b id.Region) *Link {
	for i := range d.Links {
		l := &d.Links[i]
		if (l.Between[0] == a && l.Between[1] == b) || (l.Between[0] == b && l.Between[1] == a) {
			return l
		}
	}
	return nil
}

// Delay returns the one-way delay between two availability zones; it is 0
// within a zone.
func (d *Deployment) Delay(a, b id.Zone) time.Duration {
	if a == b {
		return 0
	}
	ra, _ := d.Region(a)
	rb, _ := d.Region(b)
	if ra == rb {
		return d.Delays.Zones.Std()
	}
	return d.Delays.Regions.Std()
}

// Check tells the first thing that is wrong with the deployment, nil if
// nothing is.
func (d *Deployment) Check() *service.FileError {
	if d.Name == "" {
		return problem(result.MissingValue, "name", "a value is required")
	}
	for _, check := range []func() *service.FileError{d.checkRegions, d.checkLinks, d.checkEntries} {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

func (d *Deployment) checkRegions() *service.FileError {
	if len(d.Regions) == 0 {
		return problem(result.MissingValue, "regions", "a value is required")
	}
	regions, zones := map[id.Region]bool{}, map[id.Zone]bool{}
	for i, r := range d.Regions {
		if r.Name == "" || len(r.Zones) == 0 {
			return problem(result.MissingValue, "regions", "each needs a name and zones").At(i)
		}
		if regions[r.Name] {
			return problem(result.ImpossibleValue, "regions.name", fmt.Sprintf("%q is named twice", r.Name)).At(i)
		}
		regions[r.Name] = true
		for _, z := range r.Zones {
			if zones[z] {
				return problem(result.ImpossibleValue, "regions.zones", fmt.Sprintf("%q is named twice", z)).At(i)
			}
			zones[z] = true
		}
	}
	if d.StoreRegion != "" && !regions[d.StoreRegion] {
		return problem(result.ImpossibleValue, "storeRegion", fmt.Sprintf("%q is no region", d.StoreRegion))
	}
	return nil
}

func (d *Deployment) checkLinks() *service.FileError {
	known := map[id.Region]bool{}
	for _, r := range d.Regions {
		known[r.Name] = true
	}
	for i, l := range d.Links {
		switch {
		case !known[l.Between[0]] || !known[l.Between[1]] || l.Between[0] == l.Between[1]:
			return problem(result.ImpossibleValue, "links.between", "must name two known regions").At(i)
		case l.Capacity <= 0:
			return problem(result.ImpossibleValue, "links.capacity", "must be above 0").At(i)
		case !(l.Share > 0 && l.Share <= 1):
			return problem(result.ImpossibleValue, "links.share", "must be above 0 and at most 1").At(i)
		}
	}
	return nil
}

func (d *Deployment) checkEntries() *service.FileError {
	if len(d.Entries) == 0 {
		return problem(result.MissingValue, "entries", "a value is required")
	}
	seen := map[id.Instance]bool{}
	for i, e := range d.Entries {
		if _, ok := d.Region(e.Zone); !ok {
			return problem(result.ImpossibleValue, "entries.zone", fmt.Sprintf("%q is in no region", e.Zone)).At(i)
		}
		if e.Name == "" || seen[e.Name] {
			return problem(result.ImpossibleValue, "entries.name", fmt.Sprintf("%q is absent or named twice", e.Name)).At(i)
		}
		seen[e.Name] = true
	}
	return nil
}

func problem(code result.Code, key, text string) *service.FileError {
	return &service.FileError{Key: key, Code: code, Text: text}
}
