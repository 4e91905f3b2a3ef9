package forward

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// target returns the URL that repeats the request's target to the byte.
func target(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		path, query, found := strings.Cut(r.RequestURI, "?")
		return &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""}
	}
	u := *r.URL
	u.Scheme, u.Host, u.User, u.Fragment = "", "", nil, ""
	return &u
}

// passOn copies the headers that don't concern one connection only.
func passOn(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || named(listed, name) {
			continue
		}
		dst[name] = values
	}
}

func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	default:
		return false
	}
}

// named tells whether the Connection header lists a name.
func named(listed []string, name string) bool {
	for _, line := range listed {
		for _, field := range strings.Split(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field)) == name {
				return true
			}
		}
	}
	return false
}
