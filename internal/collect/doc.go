// Package collect finds and reads the service files that operators keep beside
// their services' code: service.toml and every *.service.toml below the given
// folders.
//
// # Usage
//
//	files, err := collect.Files("registry", "vault/evidence.service.toml")
//	for _, f := range files {
//		fmt.Println(f.Path, f.File.Service)
//	}
package collect
