package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/settings"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	exampleHash = "e1be40df9b4ca7535eada67ee415bc0f7e870b5550e47073fd66e47820679eba"
	emptyHash   = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
)

func TestLoadAcceptsExamples(t *testing.T) {
	for _, deployment := range []string{"beridze", "dansk"} {
		for i := 1; i <= 7; i++ {
			path := fmt.Sprintf("../../examples/%s/settings/entry-%d.toml", deployment, i)
			t.Run(path, func(t *testing.T) {
				is := is.New(t)
				s, err := settings.Load(path)
				is.NoErr(err)
				is.Equal(s.Deployment.Name, deployment)
				is.Equal(s.Entry().Name, s.Instance)
				is.Equal(s.Limits.Connections, settings.DefaultConnections)
				is.True(s.Operators[0].Hash.Equal(settings.HashToken("example-write")))
				is.True(!s.Operators[0].Hash.Equal(settings.HashToken("example-writf")))
			})
		}
	}
}

func TestLoadReportsLineKeyAndCode(t *testing.T) {
	tests := map[string]struct {
		old, new string
		line     int
		key      string
		code     result.Code
	}{
		"unknown key":         {old: "[log]", new: "[log]\ncolour = true", line: 21, key: "log.colour", code: result.UnknownKey},
		"wrong type":          {old: `"info"`, new: "3", line: 21, key: "log.level", code: result.WrongType},
		"unknown level":       {old: `"info"`, new: `"loud"`, line: 21, key: "log.level", code: result.WrongType},
		"short hash":          {old: `hash = "`, new: `hash = "00`, line: 18, key: "operators.hash", code: result.WrongType},
		"empty token":         {old: exampleHash, new: emptyHash, line: 18, key: "operators.hash", code: result.ImpossibleValue},
		"missing zone":        {old: `zone = "east-kakheti-1"`, new: "", line: 1, key: "zone", code: result.MissingValue},
		"missing store":       {old: `store = `, new: "# ", line: 11, key: "platform.store", code: result.MissingValue},
		"zone elsewhere":      {old: `zone = "east-kakheti-1"`, new: `zone = "kutaisi-1"`, line: 2, key: "zone", code: result.ImpossibleValue},
		"entry in other zone": {old: `zone = "east-kakheti-1"`, new: `zone = "east-kakheti-2"`, line: 2, key: "zone", code: result.ImpossibleValue},
		"wrong region":        {old: `region = "east-kakheti"`, new: `region = "west-imereti"`, line: 3, key: "region", code: result.ImpossibleValue},
		"unknown instance":    {old: `"entry-1"`, new: `"entry-9"`, line: 1, key: "instance", code: result.ImpossibleValue},
		"same listener twice": {old: "127.0.0.1:21041", new: "127.0.0.1:21021", line: 9, key: "listeners.operator", code: result.ImpossibleValue},
		"other address":       {old: "127.0.0.1:21001", new: "127.0.0.1:21002", line: 7, key: "listeners.caller", code: result.ImpossibleValue},
		"no deployment":       {old: "deployment.toml", new: "nowhere.toml", line: 0, key: "", code: result.UnreadableFile},
		"negative limit":      {old: "[log]", new: "[limits]\nconnections = -1\n[log]", line: 21, key: "limits.connections", code: result.ImpossibleValue},
	}
	example, err := os.ReadFile("../../examples/beridze/settings/entry-1.toml")
	if err != nil {
		t.Fatal(err)
	}
	deploymentPath, err := filepath.Abs("../../examples/beridze/deployment.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(string(example), tt.old))
			dir := t.TempDir()
			is.NoErr(os.Symlink(deploymentPath, filepath.Join(dir, "deployment.toml")))
			is.NoErr(os.Mkdir(filepath.Join(dir, "settings"), 0o755))
			path := filepath.Join(dir, "settings", "entry.toml")
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(string(example), tt.old, tt.new, 1)), 0o600))
			_, err := settings.Load(path)
			var p *service.FileError
			is.True(errors.As(err, &p))
			t.Log(p)
			is.Equal(p.Line, tt.line)
			is.Equal(p.Key, tt.key)
			is.Equal(p.Code, tt.code)
		})
	}
}
