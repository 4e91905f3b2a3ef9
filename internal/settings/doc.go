// Package settings holds what one entry is told before it starts: who it is,
// where it listens, where the platform's store is, who may operate it, and
// its limits.
//
// A settings file is TOML with camelCase keys. It names a deployment file,
// which is read with it. Everything is checked before anything starts, and a
// problem names file, line, key and a numbered code. docs/SETTINGS.md lists
// the keys with their bounds.
//
// # Usage
//
//	s, err := settings.Load("entry-1.toml")
//	if err != nil {
//		return err // a *service.FileError
//	}
//	entry := s.World.Entries[0]
package settings
