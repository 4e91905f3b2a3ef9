// Package servicefiles finds, reads and validates the service files that
// operators keep next to the code of their services: service.toml and every
// *.service.toml below the given directories.
//
// # Usage
//
//	files, err := servicefiles.Read("registry", "vault/evidence.service.toml")
//	for _, f := range files {
//		fmt.Println(f.Path, f.Parsed.Service)
//	}
package servicefiles
