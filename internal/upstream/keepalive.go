package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// announcedIdle returns how long a connection may be kept by the answer's
// Keep-Alive header, or otherwise if it names no time.
func announcedIdle(h http.Header, otherwise time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return otherwise
}
