// Package pace estimates how long work takes on a backend server now, as a multiple of the
// usual time, from the readings that answers carry.
//
// A machine's pace changes many times a second, and an entry hears from one server only now
// and then. A [Service] measures over all servers of a service how much of a reading's
// deviation from the server's mean is left after a given time (the autocorrelation). A
// [Server] holds the last reading and the mean of one server. Its estimate is the mean plus
// that part of the last reading's deviation, so that a reading counts for as long as
// readings of this service have proved to last. Without readings, the mean returns to the
// usual time.
//
// Both types have a useful zero value and are not safe for concurrent use.
//
// # Usage
//
//	server.Observe(now, &service, 1.4)
//	expected := usual * server.Estimate(now, &service)
package pace
