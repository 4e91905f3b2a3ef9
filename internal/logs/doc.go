// Package logs creates slog loggers that write one line per event, and redirects the
// log lines of go-zero and the standard library to them.
//
// # Usage
//
//	log := logs.New(os.Stderr, s.Log)
//	logs.RedirectLibraryLogs(log)
//	log.Info("entry started", "instance", s.Instance)
package logs
