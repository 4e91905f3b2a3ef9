// Package sockopt sets socket options that the standard library has no field for.
//
// # Usage
//
//	d := net.Dialer{Control: sockopt.LimitUnacked(10 * time.Second)}
package sockopt
