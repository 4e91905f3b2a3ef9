package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecord() *record { return &record{began: time.Now()} }

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// ran records that an upstream began to work on a request.
func (r *record) ran(request, server string) {
	r.add("%s runs at %s", request, server)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
