// Package instances reads the platform's list of instances.
//
// The list says of each instance whether it is live, leaving or gone. It lags:
// what it says was true some time ago. Absence from the list proves nothing,
// for a new instance is not in it yet; only [Gone], said of an instance that
// was listed before, is the platform's word that the instance has ended.
//
// # Usage
//
//	l := &instances.Client{Base: "http://10.0.0.1:7000"}
//	all, err := l.List(ctx)
package instances
