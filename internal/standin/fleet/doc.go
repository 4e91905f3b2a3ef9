// Package fleet starts the stand-ins of a whole deployment on loopback: the
// platform with its store and instance list, and every backend server that the
// service files name.
//
// Beside the platform's own paths, its address takes /servers/{service}/{server}:
// GET tells what that backend server saw, PUT sets its faults, and PUT on
// /silence and /stop below it silences its open connections and ends it.
//
// # Usage
//
//	f, err := fleet.Load("examples/beridze")
//	if err != nil {
//		return err
//	}
//	f.Platform = netip.MustParseAddrPort("127.0.0.1:21090")
//	if err := f.Start(); err != nil {
//		return err
//	}
//	defer f.Close()
package fleet
