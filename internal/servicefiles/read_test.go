package servicefiles_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/servicefiles"
)

func TestRead(t *testing.T) {
	registry, err := os.ReadFile("../../examples/beridze/services/registry.service.toml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(registry)
	other := strings.Replace(good, `service = "registry"`, `service = "vault"`, 1)
	tests := map[string]struct {
		files map[string]string
		args  []string
		found []string
		errs  []string
	}{
		"in subdirectories":      {files: map[string]string{"a/service.toml": good, "b/c/vault.service.toml": other, "a/Cargo.toml": "x"}, args: []string{"."}, found: []string{"a/service.toml", "b/c/vault.service.toml"}},
		"file with another name": {files: map[string]string{"registry.toml": good}, args: []string{"registry.toml"}, found: []string{"registry.toml"}},
		"overlapping paths":      {files: map[string]string{"a/service.toml": good}, args: []string{".", "a"}, found: []string{"a/service.toml"}},
		"hidden directory":       {files: map[string]string{".git/service.toml": "x", "service.toml": good}, args: []string{"."}, found: []string{"service.toml"}},
		"several invalid files":  {files: map[string]string{"a/service.toml": "slots = 4", "b/service.toml": "service = 4"}, args: []string{"."}, errs: []string{"a/service.toml:1: slots", "b/service.toml:1: service"}},
		"same service":           {files: map[string]string{"a/service.toml": good, "b/service.toml": good}, args: []string{"."}, found: []string{"a/service.toml"}, errs: []string{"b/service.toml:1: service: a/service.toml already defines the service \"registry\""}},
		"no service file":        {args: []string{"."}, errs: []string{"no service.toml"}},
		"no such directory":      {args: []string{"nowhere"}, errs: []string{"nowhere", "code 4004"}},
		"one valid, one invalid": {files: map[string]string{"a/service.toml": good, "b/service.toml": "x"}, args: []string{"."}, found: []string{"a/service.toml"}, errs: []string{"b/service.toml:1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Chdir(t.TempDir())
			for path, content := range tt.files {
				is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
				is.NoErr(os.WriteFile(path, []byte(content), 0o600))
			}
			found, err := servicefiles.Read(tt.args...)
			var paths []string
			for _, f := range found {
				paths = append(paths, f.Path)
			}
			is.Equal(paths, tt.found)
			is.Equal(err != nil, len(tt.errs) > 0)
			for _, want := range tt.errs {
				is.True(strings.Contains(err.Error(), want))
			}
		})
	}
}
