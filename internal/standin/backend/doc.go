// Package backend simulates a backend server for tests and for the trial.
//
// A [Server] runs each request for a configured time by path, counts running
// requests against its slots, and keeps a [Record] of all requests that reached
// it, so that a test can compare the results that callers received with the
// requests that ran. Its [Faults] inject failures: it can shed requests, crash on
// a chosen request, stall open connections, report false health and load, or send
// malformed responses.
//
// It implements the contract of real backend servers: it answers a shed request
// with status 503 and the header result.HeaderShed, echoes result.HeaderSend, and
// stops running a request whose connection ends.
//
// # Usage
//
//	s := &backend.Server{Name: "registry-1", Slots: 6, Connections: 400}
//	addr, err := s.Listen("127.0.0.1:0")
//	defer s.Close()
//	s.SetFaults(backend.Faults{Shed: true})
//	rec := s.Record()
package backend
