package entry

import (
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCopyEndToEndDropsSystemAndHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	dst := http.Header{}
	copyEndToEnd(dst, http.Header{"Shallotpier-Send": {"x"}, "Shallotpier_send": {"x"}, "SHALLOTPIER-Shed": {"1"}, "X-A": {"1"}, "Connection": {"X-B"}, "X-B": {"2"}})
	is.Equal(dst, http.Header{"X-A": {"1"}})
}

// FuzzPath looks for an accepted path that is changed by path.Clean, and that a
// backend server could therefore interpret as another path.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/s/registry/a", "/s/a/%2e%2e/b", "/s/a//b", "/s/a/..;x/b", "/s/a%2fb", "/s/a/b/", "/s/a\\b", "/s/%00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		u, err := url.ParseRequestURI(s)
		if err != nil || !isValidPath(u.EscapedPath(), u.Path) {
			return
		}
		if clean := path.Clean(u.Path); clean != strings.TrimSuffix(u.Path, "/") && u.Path != "/" {
			t.Errorf("%q is accepted, but path.Clean returns %q", u.Path, clean)
		}
		if strings.ContainsAny(u.Path, "\\\r\n\x00") {
			t.Errorf("%q is accepted", u.Path)
		}
	})
}

// FuzzCallerHeaders looks for system headers that are copied, unsafe request
// IDs that are accepted, and deadlines out of range.
func FuzzCallerHeaders(f *testing.F) {
	f.Add("Shallotpier-Send", "a", "1500")
	f.Add("Connection", "X-A, Host", "-1")
	f.Add("shallotpier_send", "a\nb", "99999999999")
	f.Fuzz(func(t *testing.T, name, value, deadline string) {
		src, dst := http.Header{}, http.Header{}
		src.Add(name, value)
		copyEndToEnd(dst, src)
		for k := range dst {
			if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(k, "_", "-")), "shallotpier-") {
				t.Errorf("header %q is copied", k)
			}
		}
		if validRequestID(value) != "" && strings.ContainsAny(value, " \r\n\t=\"") {
			t.Errorf("request ID %q is accepted", value)
		}
		if left, ok := requestTimeout(deadline, time.Minute); ok && (left <= 0 || left > time.Minute) {
			t.Errorf("deadline %q is %s", deadline, left)
		}
	})
}
