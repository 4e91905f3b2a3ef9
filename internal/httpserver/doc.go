// Package httpserver serves HTTP through go-zero's rest package. For processes
// with several listeners, it adds support for port 0, an error instead of a
// panic if the address is not available, header and idle timeouts, a connection
// limit, and a shutdown that does not affect other servers.
//
// All of rest's middlewares are disabled: the entry has its own policies for
// load shedding, circuit breaking and timeouts, and a second set of policies
// would make results unpredictable.
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
