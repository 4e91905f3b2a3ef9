// Package sockopt sets socket options that the standard library does not support.
//
// # Usage
//
//	d := net.Dialer{Control: sockopt.LimitUnacked(10 * time.Second)}
package sockopt
