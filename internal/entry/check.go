package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	maxRequestID = 64
	maxPath      = 8 << 10
	maxKey       = 256
	systemPrefix = "shallotpier-"
)

// isValidRequest reports whether protocol version, method, path and the headers
// for ticket and idempotency key are acceptable.
func isValidRequest(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect && r.Method != http.MethodTrace &&
		len(r.Header.Values(result.HeaderTicket)) <= 1 && len(r.Header.Values(result.HeaderKey)) <= 1 &&
		len(r.Header.Get(result.HeaderKey)) <= maxKey && isValidPath(r.URL.EscapedPath(), r.URL.Path)
}

// isValidPath rejects paths that a backend server could interpret as another
// path than the one whose class was matched: empty and dot segments, encoded
// slashes, backslashes and control characters.
func isValidPath(escaped, path string) bool {
	if len(escaped) > maxPath || !strings.HasPrefix(path, "/") {
		return false
	}
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(path, `\`) {
		return false
	}
	for _, b := range []byte(path) {
		if b < ' ' || b == 0x7f {
			return false
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "" && i < len(segments)-1 {
			return false
		}
		name, _, _ := strings.Cut(s, ";")
		if name == "." || name == ".." {
			return false
		}
	}
	return true
}

// isBehindCaller reports whether the caller's version header names a later
// configuration than the entry has.
func isBehindCaller(r *http.Request, t *Table) bool {
	seen, err := strconv.ParseUint(r.Header.Get(result.HeaderVersion), 10, 64)
	return err == nil && seen > uint64(t.Version)
}

// validRequestID returns a caller's request ID if it is safe in headers and
// logs, and an empty string otherwise.
func validRequestID(s string) string {
	if len(s) > maxRequestID {
		return ""
	}
	for _, b := range []byte(s) {
		ok := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.'
		if !ok {
			return ""
		}
	}
	return s
}

// requestTimeout returns how long a request may take: the shorter of the
// class's deadline and the caller's header, which is in milliseconds. It
// returns false for a malformed header.
func requestTimeout(header string, class time.Duration) (time.Duration, bool) {
	if header == "" {
		return class, true
	}
	ms, err := strconv.ParseUint(header, 10, 32)
	if err != nil || ms == 0 {
		return 0, false
	}
	return min(class, time.Duration(ms)*time.Millisecond), true
}

// copyEndToEnd copies the end-to-end headers, without hop-by-hop headers and
// Shallotpier headers.
func copyEndToEnd(dst, src http.Header) {
	drop := hopByHop(src)
	for k, vs := range src {
		if !drop[k] && !isSystemHeader(k) {
			dst[k] = append([]string(nil), vs...)
		}
	}
}

// isSystemHeader reports whether a header is a Shallotpier header, or would be
// read as one by a server that treats underscores as hyphens.
func isSystemHeader(k string) bool {
	return len(k) >= len(systemPrefix) && strings.ReplaceAll(strings.ToLower(k[:len(systemPrefix)]), "_", "-") == systemPrefix
}

func hopByHop(h http.Header) map[string]bool {
	drop := map[string]bool{
		"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
		"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	}
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			if k := http.CanonicalHeaderKey(strings.TrimSpace(name)); !endToEnd(k) {
				drop[k] = true
			}
		}
	}
	return drop
}

// endToEnd reports whether a header is kept even if a Connection header lists
// it.
func endToEnd(k string) bool {
	switch k {
	case "Host", "Content-Length", "Content-Type", "Authorization", "Cookie", "Idempotency-Key":
		return true
	default:
		return false
	}
}
