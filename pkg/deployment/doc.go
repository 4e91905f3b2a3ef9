// Package deployment describes the world that a system of entries stands in:
// its regions and availability zones, the links between regions, the one-way
// delays, and the entry instances.
//
// A [Deployment] is decoded from TOML and checks itself; examples/ holds the
// two of today at full size.
//
// # Usage
//
//	d, err := deployment.Parse("beridze.toml", data)
//	region, ok := d.Region("tbilisi-core-1")
//	link := d.Link("east-kakheti", "tbilisi-core")
package deployment
