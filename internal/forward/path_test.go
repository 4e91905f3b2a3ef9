package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/service"
)

// Guards against a request that is run by the service of a route whose prefix doesn't begin its
// path, and against a path that is changed on its way.
func TestEncodedSlashSelectsNoRoute(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
	}{
		"plain":                       {"/x/8", http.StatusOK},
		"encoded slash in the prefix": {"/x%2F8", http.StatusNotFound},
		"encoded slash behind it":     {"/x/8%2f9", http.StatusOK},
		"encoded letter":              {"/%78/8", http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Read, "ok")
			status, _, _ := f.ask(t.Context(), tt.path, "")
			is.Equal(status, tt.status)
			is.Equal(f.backend.requests.Load(), int64(map[int]int{http.StatusOK: 1}[tt.status]))
			if r := f.backend.last.Load(); r != nil {
				is.Equal(r.RequestURI, tt.path)
			}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example"+tt.path, nil)
			is.NoErr(err)
			is.Equal(f.handler.Concurrent(r), tt.status == http.StatusOK)
		})
	}
}
