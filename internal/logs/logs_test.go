package logs_test

import (
	"bytes"
	stdlog "log"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/shallotpier/shallotpier/internal/logs"
	"github.com/shallotpier/shallotpier/internal/settings"
)

func TestGoZeroLogIsRedirected(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(logs.RedirectLibraryLogs(logs.New(&out, settings.Log{Level: settings.Info, Format: settings.KeyValue})))
	logx.Infow("route\nadded", logx.Field("path", "/a"))
	logx.Debug("not shown")
	is.Equal(strings.Count(out.String(), "\n"), 1) // one line per event
	for _, want := range []string{`level=INFO`, `msg="route\nadded"`, "library=goZero", "path=/a"} {
		is.True(strings.Contains(out.String(), want))
	}
}

func TestStandardLogIsRedirected(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(logs.RedirectLibraryLogs(logs.New(&out, settings.Log{Level: settings.Info, Format: settings.KeyValue})))
	stdlog.Print("odd\nanswer")
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(strings.Contains(out.String(), `level=WARN msg="odd\nanswer" library=std`))
}

func TestNewWritesJSON(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logs.New(&out, settings.Log{Level: settings.Warn, Format: settings.JSON}).Warn("late", "ageMs", 4)
	is.True(strings.Contains(out.String(), `"msg":"late","ageMs":4`))
}

func TestErrorsAreWrittenWithoutStackTrace(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logs.New(&out, settings.Log{Level: settings.Info, Format: settings.KeyValue}).Error("stopped", "error", eris.New("no port"))
	is.True(strings.Contains(out.String(), `error="no port"`))
}
