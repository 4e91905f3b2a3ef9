// Package service decodes and validates the service file, the TOML file that an
// operator keeps beside a service's code.
//
// A [File] defines the regions that a service's traffic may go to, how fast the
// traffic may shift, how long connection draining of a backend server may take,
// the request classes, and the backend servers. A decoded file must not be
// modified: the request path reads it without locks.
//
// [Parse] returns errors as a [*FileError] with file, line, key and code.
// [Decode] decodes other TOML files with the same strictness.
//
// # Usage
//
//	file, err := service.Parse("registry.toml", data)
//	if err != nil {
//		return err // a *service.FileError with file, line, key and code
//	}
//	class := file.Match("GET", "/findings/8")
package service
