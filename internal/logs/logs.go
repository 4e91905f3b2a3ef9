package logs

import (
	"fmt"
	"io"
	stdlog "log"
	"log/slog"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/shallotpier/shallotpier/internal/logpipe"
	"github.com/shallotpier/shallotpier/internal/settings"
)

// Writer is a logx.Writer that forwards go-zero's log lines to a slog.Logger.
type Writer struct{ log *slog.Logger }

// New returns a logger that writes lines in the format and from the level given in
// the settings.
func New(w io.Writer, s settings.Log) *slog.Logger {
	options := slog.HandlerOptions{Level: s.Level.Slog(), ReplaceAttr: logpipe.PlainError}
	if s.Format == settings.JSON {
		return slog.New(slog.NewJSONHandler(w, &options))
	}
	return slog.New(slog.NewTextHandler(w, &options))
}

// RedirectLibraryLogs redirects the lines of go-zero and of the standard library's
// log package to log, for the whole process. net/http logs protocol errors of
// connections to the latter; those lines are written as warnings. RedirectLibraryLogs
// must be called before any go-zero server is created.
func RedirectLibraryLogs(log *slog.Logger) error {
	if err := logx.SetUp(logx.LogConf{Mode: "console", Encoding: "plain", Level: "info"}); err != nil {
		return eris.Wrap(err, "set up go-zero logging")
	}
	logx.DisableStat()
	logx.SetWriter(NewWriter(log))
	stdlog.SetFlags(0)
	stdlog.SetOutput(slog.NewLogLogger(log.With("library", "std").Handler(), slog.LevelWarn).Writer())
	return nil
}

// NewWriter returns a Writer that forwards to log.
func NewWriter(log *slog.Logger) *Writer { return &Writer{log: log.With("library", "goZero")} }

// Alert writes a line at level error.
func (w *Writer) Alert(v any) { w.log.Error(fmt.Sprint(v)) }

// Close does nothing.
func (w *Writer) Close() error { return nil }

// Debug writes a line at level debug.
func (w *Writer) Debug(v any, fields ...logx.LogField) { w.log.Debug(fmt.Sprint(v), attrs(fields)...) }

// Error writes a line at level error.
func (w *Writer) Error(v any, fields ...logx.LogField) { w.log.Error(fmt.Sprint(v), attrs(fields)...) }

// Info writes a line at level info.
func (w *Writer) Info(v any, fields ...logx.LogField) { w.log.Info(fmt.Sprint(v), attrs(fields)...) }

// Severe writes a line at level error.
func (w *Writer) Severe(v any) { w.log.Error(fmt.Sprint(v)) }

// Slow writes a line at level warn.
func (w *Writer) Slow(v any, fields ...logx.LogField) { w.log.Warn(fmt.Sprint(v), attrs(fields)...) }

// Stack writes a line at level error.
func (w *Writer) Stack(v any) { w.log.Error(fmt.Sprint(v)) }

// Stat writes a line at level debug.
func (w *Writer) Stat(v any, fields ...logx.LogField) { w.log.Debug(fmt.Sprint(v), attrs(fields)...) }

func attrs(fields []logx.LogField) []any {
	args := make([]any, 0, len(fields))
	for _, f := range fields {
		args = append(args, slog.Any(f.Key, f.Value))
	}
	return args
}
