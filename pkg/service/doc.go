// Package service holds the service file, the short TOML file that an
// operator keeps beside a service's code, and the checks of it.
//
// A [File] says where a service's traffic may go, how much may shift at once,
// how long a leaving backend server may keep its work, which classes of
// requests there are, and which backend servers answer them. A decoded file is
// immutable: the request path reads it without locks.
//
// # Usage
//
//	file, err := service.Parse("registry.toml", data)
//	if err != nil {
//		return err // a *service.FileError with file, line, key and code
//	}
//	class := file.Match("GET", "/findings/8")
package service
