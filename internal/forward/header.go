package forward

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// target returns a URL that reproduces the request target byte for byte.
func target(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		path, query, found := strings.Cut(r.RequestURI, "?")
		return &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""}
	}
	u := *r.URL
	u.Scheme, u.Host, u.User, u.Fragment = "", "", nil, ""
	return &u
}

// copyEndToEnd copies all headers except hop-by-hop ones.
func copyEndToEnd(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || listsHeader(listed, name) {
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

// listsHeader reports whether the values of a Connection header list a name.
func listsHeader(listed []string, name string) bool {
	for _, line := range listed {
		for _, field := range strings.Split(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field)) == name {
				return true
			}
		}
	}
	return false
}
