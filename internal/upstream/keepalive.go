package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// announcedIdle returns how long an idle connection may be kept according to the
// answer's Keep-Alive header, or fallback if the header has no timeout.
func announcedIdle(h http.Header, fallback time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return fallback
}
