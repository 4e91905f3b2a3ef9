package logpipe_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
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

// BenchmarkStalledReader measures Write while the queue is full.
func BenchmarkStalledReader(b *testing.B) {
	_, pipe := io.Pipe()
	w := logpipe.New(pipe, 16)
	line := bytes.Repeat([]byte("x"), 200)
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
