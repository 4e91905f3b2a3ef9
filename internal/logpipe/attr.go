package logpipe

import "log/slog"

// PlainError is a slog.HandlerOptions.ReplaceAttr that writes errors without their
// stack traces.
func PlainError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
