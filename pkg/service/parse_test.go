package service_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const example = `service = "registry"
drainTime = "15m"
[shiftCap]
rise = 60.0
window = "10s"
[retry]
attempts = 2
budget = 0.1
[[regions]]
name = "east"
weight = 1
headroomFloor = 0.2
[[classes]]
name = "certificate"
kind = "once"
methods = ["POST"]
pathPrefix = "/certificates"
deadline = "10s"
bodyLimit = "256KiB"
[[classes]]
name = "findings"
kind = "read"
methods = ["GET"]
pathPrefix = "/"
deadline = "2s"
[[servers]]
name = "registry-1"
address = "127.0.0.1:21101"
zone = "east-1"
slots = 6
connections = 400
`

func TestParseReportsLineKeyAndCode(t *testing.T) {
	tests := map[string]struct {
		old, new string
		line     int
		key      string
		code     result.Code
	}{
		"unknown key":                  {old: "drainTime =", new: "drainTimes =", line: 2, key: "drainTimes", code: result.UnknownKey},
		"unknown class key":            {old: "bodyLimit", new: "bodylimit2", line: 19, key: "classes.bodylimit2", code: result.UnknownKey},
		"wrong type":                   {old: "attempts = 2", new: `attempts = "two"`, line: 7, key: "retry.attempts", code: result.WrongType},
		"bad duration":                 {old: `"15m"`, new: `"fifteen"`, line: 2, key: "drainTime", code: result.WrongType},
		"bad address":                  {old: "127.0.0.1:21101", new: "localhost", line: 28, key: "servers.address", code: result.WrongType},
		"key in wrong case":            {old: "drainTime =", new: "draintime =", line: 2, key: "draintime", code: result.UnknownKey},
		"bad name":                     {old: `"registry"`, new: `"The Registry"`, line: 1, key: "service", code: result.WrongType},
		"bad zone":                     {old: `"east-1"`, new: `"east/1"`, line: 29, key: "servers.zone", code: result.WrongType},
		"number for duration":          {old: `"15m"`, new: "900", line: 2, key: "drainTime", code: result.WrongType},
		"boolean for size":             {old: `"256KiB"`, new: "true", line: 19, key: "classes.bodyLimit", code: result.WrongType},
		"unknown table":                {old: "[[regions]]\nname = \"east\"\nweight = 1\nheadroomFloor = 0.2", new: "[[regions]]\nname = \"east\"\n[retry2]", line: 11, key: "retry2", code: result.UnknownKey},
		"not TOML":                     {old: "[shiftCap]", new: "[shiftCap", line: 3, code: result.UnreadableFile},
		"missing service":              {old: `service = "registry"`, new: "", line: 1, key: "service", code: result.MissingValue},
		"missing window":               {old: `window = "10s"`, new: "", line: 3, key: "shiftCap.window", code: result.ImpossibleValue},
		"second deadline":              {old: `deadline = "2s"`, new: `deadline = "25h"`, line: 25, key: "classes.deadline", code: result.ImpossibleValue},
		"second path prefix":           {old: `pathPrefix = "/"`, new: "", line: 20, key: "classes.pathPrefix", code: result.ImpossibleValue},
		"unknown kind":                 {old: `"once"`, new: `"twice"`, line: 15, key: "classes.kind", code: result.ImpossibleValue},
		"duplicate class":              {old: `"findings"`, new: `"certificate"`, line: 21, key: "classes.name", code: result.ImpossibleValue},
		"no slots":                     {old: "slots = 6", new: "slots = 0", line: 30, key: "servers.slots", code: result.ImpossibleValue},
		"fewer connections than slots": {old: "400", new: "5", line: 31, key: "servers.connections", code: result.ImpossibleValue},
		"headroom floor of 1":          {old: "0.2", new: "1.0", line: 12, key: "regions.headroomFloor", code: result.ImpossibleValue},
		"budget not a number":          {old: "= 0.1", new: "= nan", line: 8, key: "retry.budget", code: result.ImpossibleValue},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(example, tt.old), 1) // the replaced text is unique
			_, err := service.Parse("registry.toml", []byte(strings.Replace(example, tt.old, tt.new, 1)))
			var e *service.FileError
			is.True(errors.As(err, &e))
			t.Log(e)
			is.Equal(e.File, "registry.toml")
			is.Equal(e.Line, tt.line)
			is.Equal(e.Key, tt.key)
			is.Equal(e.Code, tt.code)
		})
	}
}

func TestDecodeReportsErrorsInInlineTables(t *testing.T) {
	tests := map[string]struct {
		give string
		line int
		key  string
		code result.Code
	}{
		"wrong type":  {give: "service = 'a'\nclasses = [{name = 'a'}, {deadline = 9}]", line: 2, key: "classes.deadline", code: result.WrongType},
		"unknown key": {give: "shiftCap = {rise = 1.0, fall = 2.0}", line: 1, key: "shiftCap.fall", code: result.UnknownKey},
		"dotted key":  {give: "shiftCap.window = 10", line: 1, key: "shiftCap.window", code: result.WrongType},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := service.Decode("f.toml", []byte(tt.give), new(service.File))
			var e *service.FileError
			is.True(errors.As(err, &e))
			is.Equal(e.Line, tt.line)
			is.Equal(e.Key, tt.key)
			is.Equal(e.Code, tt.code)
		})
	}
}

func TestMatchReturnsFirstClass(t *testing.T) {
	is := is.New(t)
	f, err := service.Parse("registry.toml", []byte(example))
	is.NoErr(err)
	is.Equal(string(f.Match("POST", "/certificates/4").Name), "certificate")
	is.Equal(string(f.Match("GET", "/certificates/4").Name), "findings")
	is.Equal(f.Match("DELETE", "/certificates/4"), nil)
	is.Equal(f.Slots(), 6)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("classes = [{name = 'a'}, {deadline = '1s'}]"))
	if data, err := os.ReadFile("../../examples/beridze/services/registry.service.toml"); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := service.Parse("f.toml", data)
		if (file == nil) == (err == nil) {
			t.Fatalf("Parse returned file %v and error %v, want exactly one of them", file, err)
		}
		if file != nil && file.Check() != nil {
			t.Fatal("Parse accepted a file that fails Check")
		}
	})
}
