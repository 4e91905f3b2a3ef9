// Package deployment describes the environment in which entries run: the regions
// and availability zones, the links between regions, the one-way delays, and the
// entry instances.
//
// A [Deployment] is decoded from TOML and validated by [Parse], which returns a
// *service.FileError with file, line, key and code. examples/ holds two
// deployments at full size.
//
// # Usage
//
//	d, err := deployment.Parse("beridze.toml", data)
//	region, ok := d.Region("tbilisi-core-1")
//	link := d.Link("east-kakheti", "tbilisi-core")
package deployment
