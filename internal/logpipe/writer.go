// Package logpipe writes log lines without ever making the writer of a line
// wait: lines go through a bounded queue, and what doesn't fit is counted and
// dropped.
//
// # Usage
//
//	w := logpipe.New(os.Stdout, 4096)
//	defer w.Close()
//	log := slog.New(slog.NewTextHandler(w, nil))
package logpipe

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// flushBytes is how much is written at once at most, a pipe's usual capacity.
const flushBytes = 64 << 10

// Writer queues lines for another writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	close   sync.Once
	dropped atomic.Uint64
}

// New returns a Writer to out that queues at most limit lines.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, limit), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer. No line may be written after
// it.
func (w *Writer) Close() error {
	w.close.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	var (
		buf      []byte
		reported uint64
	)
	for line := range w.lines {
		buf = append(buf[:0], line...)
		buf = w.gather(buf)
		if n := w.dropped.Load(); n != reported {
			buf = fmt.Appendf(buf, "level=WARN msg=\"log lines dropped\" lines=%d total=%d\n", n-reported, n)
			reported = n
		}
		// There is nowhere to report that the log can't be written.
		_, _ = w.out.Write(buf)
	}
}

// gather appends lines that are already queued.
func (w *Writer) gather(buf []byte) []byte {
	for len(buf) < flushBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return buf
			}
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}
