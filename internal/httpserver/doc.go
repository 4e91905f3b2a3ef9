// Package httpserver serves HTTP through go-zero's rest, with what a process
// of several listeners needs besides: port 0, an error instead of a panic when
// the address can't be had, header and idle times, a limit on connections, and
// a shutdown of one server that leaves the others alone.
//
// None of rest's middlewares is on: load shedding, breaking and timeouts are
// decided by this project's own policies, and a second decision maker beside
// them would make their results unpredictable.
//
// # Usage
//
//	s := httpserver.Server{Address: address, Handler: handler}
//	if err := s.Start(); err != nil {
//		return err
//	}
//	log.Info("listening", "address", s.Address)
//	defer s.Shutdown(ctx)
package httpserver
