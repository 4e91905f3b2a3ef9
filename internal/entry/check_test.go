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

func TestPassOnDropsInternalHeaders(t *testing.T) {
	is := is.New(t)
	dst := http.Header{}
	passOn(dst, http.Header{"Shallotpier-Send": {"x"}, "Shallotpier_send": {"x"}, "SHALLOTPIER-Shed": {"1"}, "X-A": {"1"}, "Connection": {"X-B"}, "X-B": {"2"}})
	is.Equal(dst, http.Header{"X-A": {"1"}})
}

// FuzzPath looks for an accepted path that reads otherwise once it has been
// cleaned.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/s/registry/a", "/s/a/%2e%2e/b", "/s/a//b", "/s/a/..;x/b", "/s/a%2fb", "/s/a/b/", "/s/a\\b", "/s/%00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		u, err := url.ParseRequestURI(s)
		if err != nil || !checkPath(u.EscapedPath(), u.Path) {
			return
		}
		if clean := path.Clean(u.Path); clean != strings.TrimSuffix(u.Path, "/") && u.Path != "/" {
			t.Errorf("%q is accepted, and is cleaned to %q", u.Path, clean)
		}
		if strings.ContainsAny(u.Path, "\\\r\n\x00") {
			t.Errorf("%q is accepted", u.Path)
		}
	})
}

// FuzzCallerHeaders looks for values that pass and must not.
func FuzzCallerHeaders(f *testing.F) {
	f.Add("Shallotpier-Send", "a", "1500")
	f.Add("Connection", "X-A, Host", "-1")
	f.Add("shallotpier_send", "a\nb", "99999999999")
	f.Fuzz(func(t *testing.T, name, value, deadline string) {
		src, dst := http.Header{}, http.Header{}
		src.Add(name, value)
		passOn(dst, src)
		for k := range dst {
			if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(k, "_", "-")), "shallotpier-") {
				t.Errorf("header %q passes", k)
			}
		}
		if requestID(value) != "" && strings.ContainsAny(value, " \r\n\t=\"") {
			t.Errorf("request id %q passes", value)
		}
		if left, ok := timeLeft(deadline, time.Minute); ok && (left <= 0 || left > time.Minute) {
			t.Errorf("deadline %q is %s", deadline, left)
		}
	})
}
