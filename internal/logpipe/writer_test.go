package logpipe_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/logpipe"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logpipe.New(&out, 1000)
	want := ""
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, err := io.WriteString(w, line)
		is.NoErr(err)
	}
	is.NoErr(w.Close())
	is.Equal(out.String(), want)
	is.Equal(w.Dropped(), uint64(0))
}

func TestStalledReaderDoesNotBlockWrite(t *testing.T) {
	is := is.New(t)
	r, pipe := io.Pipe()
	w := logpipe.New(pipe, 16)
	line := strings.Repeat("x", 1<<10) + "\n"
	for range 1000 {
		_, err := io.WriteString(w, line)
		is.NoErr(err)
	}
	is.True(w.Dropped() >= 1000-16-64) // 64 KiB may be buffered for one write
	var out bytes.Buffer
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(&out, r)
		close(ended)
	}()
	is.NoErr(w.Close())
	pipe.Close()
	<-ended
	is.True(bytes.Contains(out.Bytes(), []byte("log lines dropped")))
}

// Guards against a process that panics while it ends, and loses the line with the reason, because
// goroutines that are still running log after Close.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logpipe.New(&out, 16)
	_, err := io.WriteString(w, "ended\n")
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = io.WriteString(w, "late\n")
	is.NoErr(err)
	is.NoErr(w.Close())
	is.Equal(out.String(), "ended\n")
	is.Equal(w.Dropped(), uint64(1))
}

// Guards against a panic, a data race, or a line that is neither written nor counted, when lines
// are written during Close.
func TestWriteDuringClose(t *testing.T) {
	is := is.New(t)
	const writers, lines = 8, 200
	for range 50 {
		var (
			out bytes.Buffer
			wg  sync.WaitGroup
		)
		w := logpipe.New(&out, 16)
		begun := make(chan struct{}, writers)
		for range writers {
			wg.Go(func() {
				for i := range lines {
					_, _ = io.WriteString(w, "line\n")
					if i == 0 {
						begun <- struct{}{}
					}
				}
			})
		}
		for range writers {
			<-begun
		}
		is.NoErr(w.Close())
		wg.Wait()
		written := strings.Count(out.String(), "line\n")
		is.Equal(written+int(w.Dropped()), writers*lines)
	}
}

// BenchmarkStalledReader measures Write while the queue is full.
func BenchmarkStalledReader(b *testing.B) {
	_, pipe := io.Pipe()
	w := logpipe.New(pipe, 16)
	line := bytes.Repeat([]byte("x"), 200)
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
