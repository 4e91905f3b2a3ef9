// Package backend is a stand-in for a backend server, for tests and for the
// trial.
//
// A [Server] runs requests for a time that its settings give by path, counts
// them against its slots, and keeps a [Record] of every request that reached
// it, so that a test can compare what callers were told with what ran. It
// misbehaves as its [Faults] say: it sheds, crashes on a chosen request, lets
// open connections go silent, lies about its health and load, or spoils its
// answers.
//
// It keeps the contract of real backend servers: it answers a shed request
// with status 503 and the header result.HeaderShed, echoes
// result.HeaderSend, and stops running a request whose connection ends.
//
// # Usage
//
//	s := &backend.Server{Name: "registry-1", Slots: 6, Connections: 400}
//	addr, err := s.Listen("127.0.0.1:0")
//	defer s.Close()
//	s.SetFaults(backend.Faults{Shed: true})
//	rec := s.Record()
package backend
