package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	maxRequestID  = 64
	maxPath       = 8 << 10
	maxKey        = 256
	internalStart = "shallotpier-"
)

// checkRequest tells whether a request is one that may be looked at further.
func checkRequest(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect && r.Method != http.MethodTrace &&
		len(r.Header.Values(result.HeaderTicket)) <= 1 && len(r.Header.Values(result.HeaderKey)) <= 1 &&
		len(r.Header.Get(result.HeaderKey)) <= maxKey && checkPath(r.URL.EscapedPath(), r.URL.Path)
}

// checkPath refuses paths that a backend server could read as another path
// than the one whose class was matched: empty and dot segments, encoded
// slashes, backslashes and control characters.
func checkPath(escaped, path string) bool {
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

// behind tells whether a caller has seen a later configuration than the entry
// has. Callers say which one they saw.
func behind(r *http.Request, t *Table) bool {
	seen, err := strconv.ParseUint(r.Header.Get(result.HeaderVersion), 10, 64)
	return err == nil && seen > uint64(t.Version)
}

// requestID returns a caller's request id if it is fit for headers and logs,
// and nothing otherwise.
func requestID(s string) string {
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

// timeLeft returns how long a request may take: the class's deadline, or what
// the caller's header says if that is shorter. It is false for a malformed
// header.
func timeLeft(header string, class time.Duration) (time.Duration, bool) {
	if header == "" {
		return class, true
	}
	ms, err := strconv.ParseUint(header, 10, 32)
	if err != nil || ms == 0 {
		return 0, false
	}
	return min(class, time.Duration(ms)*time.Millisecond), true
}

// passOn copies the headers that go on to the other side: without those that
// are for one connection alone, and without the system's own.
func passOn(dst, src http.Header) {
	drop := hopByHop(src)
	for k, vs := range src {
		if !drop[k] && !isInternal(k) {
			dst[k] = append([]string(nil), vs...)
		}
	}
}

// isInternal tells whether a header is the system's own, or would be read as
// one by a server that takes underscores for hyphens.
func isInternal(k string) bool {
	return len(k) >= len(internalStart) && strings.ReplaceAll(strings.ToLower(k[:len(internalStart)]), "_", "-") == internalStart
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

// endToEnd names the headers that a Connection header can't remove.
func endToEnd(k string) bool {
	switch k {
	case "Host", "Content-Length", "Content-Type", "Authorization", "Cookie", "Idempotency-Key":
		return true
	default:
		return false
	}
}
