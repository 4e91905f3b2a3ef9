// Package logpipe writes log lines asynchronously, so that logging never blocks:
// lines go through a bounded queue, and lines that don't fit are dropped and counted.
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

// maxBatch is the size in bytes from which on no further lines are added to one
// write: the usual capacity of a pipe.
const maxBatch = 64 << 10

// Writer queues lines for an underlying writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.RWMutex // held for writing only to close lines
	closed bool
}

// New returns a Writer to out with a queue of limit lines. It starts a goroutine,
// which Close stops.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, limit), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full or the writer is closed. It never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Lines that are written later are
// dropped: goroutines may still log while a process ends.
func (w *Writer) Close() error {
	w.closeQueue()
	<-w.done
	return nil
}

func (w *Writer) closeQueue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var (
		buf      []byte
		reported uint64
	)
	for line := range w.lines {
		buf = append(buf[:0], line...)
		buf = w.appendQueued(buf)
		if n := w.dropped.Load(); n != reported {
			buf = fmt.Appendf(buf, "level=WARN msg=\"log lines dropped\" lines=%d total=%d\n", n-reported, n)
			reported = n
		}
		// The error is ignored: there is no other place to report it.
		_, _ = w.out.Write(buf)
	}
}

// appendQueued appends lines that are already queued.
func (w *Writer) appendQueued(buf []byte) []byte {
	for len(buf) < maxBatch {
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
