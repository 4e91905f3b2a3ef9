// Package instances reads the platform's list of instances.
//
// The list contains the state of each instance: live, leaving or gone. It lags
// behind the actual states. Absence from the list proves nothing, since a new
// instance is not listed yet; only the state [Gone] of an instance that was
// listed before means that the instance has stopped.
//
// # Usage
//
//	l := &instances.Client{Base: "http://10.0.0.1:7000"}
//	all, err := l.List(ctx)
package instances
