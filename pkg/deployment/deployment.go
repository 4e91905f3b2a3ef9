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
	// Deployment is the environment of one organisation's entries.
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
		// StoreRegion is the region in which the platform's store is located;
		// it may be empty.
		StoreRegion id.Region `toml:"storeRegion" json:"storeRegion"`
	}

	// Region is a region with its availability zones.
	Region struct {
		// Name names the region.
		Name id.Region `toml:"name" json:"name"`
		// Zones lists its availability zones.
		Zones []id.Zone `toml:"zones" json:"zones"`
	}

	// Link connects two regions; each direction has the full capacity.
	Link struct {
		// Between holds the two regions.
		Between [2]id.Region `toml:"between" json:"between"`
		// Capacity is the capacity of each direction, in bits per second.
		Capacity unit.BitRate `toml:"capacity" json:"capacity"`
		// Share is the fraction of Capacity that entries may use, above 0 and
		// at most 1.
		Share float64 `toml:"share" json:"share"`
	}

	// Delays holds one-way delays.
	Delays struct {
		// Zones is the delay between two availability zones of a region.
		Zones unit.Duration `toml:"zones" json:"zones"`
		// Regions is the delay between two regions.
		Regions unit.Duration `toml:"regions" json:"regions"`
		// Clients is the delay between clients and an entry.
		Clients unit.Duration `toml:"clients" json:"clients"`
	}

	// Entry is an entry instance.
	Entry struct {
		// Name is the instance's name in the platform's list.
		Name id.Instance `toml:"name" json:"name"`
		// Zone is the availability zone in which it runs.
		Zone id.Zone `toml:"zone" json:"zone"`
		// Caller is the address of its listener for callers.
		Caller netip.AddrPort `toml:"caller" json:"caller"`
		// Peer is the address of its listener for other entries.
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
	if e := d.Check(); e != nil {
		return nil, e.Locate(name, data)
	}
	return d, nil
}

// Region returns the region that a zone belongs to, and false if the zone is in
// none.
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

// Link returns the link between two regions; nil if they are the same region or
// have no link.
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

// Check returns the first error in the deployment, without file name and line;
// nil if there is none.
func (d *Deployment) Check() *service.FileError {
	if d.Name == "" {
		return fileError(result.MissingValue, "name", "a value is required")
	}
	for _, check := range []func() *service.FileError{d.checkRegions, d.checkLinks, d.checkEntries} {
		if e := check(); e != nil {
			return e
		}
	}
	return nil
}

func (d *Deployment) checkRegions() *service.FileError {
	if len(d.Regions) == 0 {
		return fileError(result.MissingValue, "regions", "a value is required")
	}
	regions, zones := map[id.Region]bool{}, map[id.Zone]bool{}
	for i, r := range d.Regions {
		if r.Name == "" || len(r.Zones) == 0 {
			return fileError(result.MissingValue, "regions", "each region must have a name and at least one zone").At(i)
		}
		if regions[r.Name] {
			return fileError(result.ImpossibleValue, "regions.name", fmt.Sprintf("duplicate name %q", r.Name)).At(i)
		}
		regions[r.Name] = true
		for _, z := range r.Zones {
			if zones[z] {
				return fileError(result.ImpossibleValue, "regions.zones", fmt.Sprintf("duplicate zone %q", z)).At(i)
			}
			zones[z] = true
		}
	}
	if d.StoreRegion != "" && !regions[d.StoreRegion] {
		return fileError(result.ImpossibleValue, "storeRegion", fmt.Sprintf("%q is not one of the regions", d.StoreRegion))
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
			return fileError(result.ImpossibleValue, "links.between", fmt.Sprintf("%q and %q must be two different regions of this file", l.Between[0], l.Between[1])).At(i)
		case l.Capacity <= 0:
			return fileError(result.ImpossibleValue, "links.capacity", fmt.Sprintf("is %d bit/s, must be greater than 0", l.Capacity)).At(i)
		case !(l.Share > 0 && l.Share <= 1):
			return fileError(result.ImpossibleValue, "links.share", fmt.Sprintf("is %v, must be greater than 0 and at most 1", l.Share)).At(i)
		}
	}
	return nil
}

func (d *Deployment) checkEntries() *service.FileError {
	if len(d.Entries) == 0 {
		return fileError(result.MissingValue, "entries", "a value is required")
	}
	seen := map[id.Instance]bool{}
	for i, e := range d.Entries {
		if _, ok := d.Region(e.Zone); !ok {
			return fileError(result.ImpossibleValue, "entries.zone", fmt.Sprintf("zone %q is not in any region of this file", e.Zone)).At(i)
		}
		if e.Name == "" || seen[e.Name] {
			return fileError(result.ImpossibleValue, "entries.name", fmt.Sprintf("%q is empty or a duplicate name", e.Name)).At(i)
		}
		seen[e.Name] = true
	}
	return nil
}

func fileError(code result.Code, key, text string) *service.FileError {
	return &service.FileError{Key: key, Code: code, Text: text}
}
