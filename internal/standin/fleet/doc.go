// Package fleet simulates the environment of a whole deployment on loopback: the
// platform with its store and instance list, and every backend server in the
// service files.
//
// In addition to the platform's paths, the platform's address serves
// /servers/{service}/{server}: GET returns the counts of that backend server, PUT
// sets its faults, PUT on /silence below it stalls its open connections, and PUT
// on /stop below it stops the server.
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
