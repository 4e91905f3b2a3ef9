// Package logs writes one line for each event with log/slog, and brings
// go-zero's own log lines into the same stream.
//
// # Usage
//
//	log := logs.New(os.Stderr, s.Log)
//	logs.Adopt(log)
//	log.Info("entry started", "instance", s.Instance)
package logs
