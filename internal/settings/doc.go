// Package settings reads and validates the settings file of one entry: its name
// and location, its listen addresses, the address of the platform's store, the
// operators with their roles, and the limits on callers.
//
// A settings file is TOML with camelCase keys. It names a deployment file,
// which is read along with it. Both files are validated before the entry
// starts; an error names the file, line, key and a numeric code.
// docs/SETTINGS.md lists the keys with their bounds.
//
// # Usage
//
//	s, err := settings.Load("entry-1.toml")
//	if err != nil {
//		return err // a *service.FileError
//	}
//	entry := s.Entry()
package settings
