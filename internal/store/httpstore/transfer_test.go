package httpstore_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/internal/store/httpstore"
)

// Guards against entries on slow links that never get a large publication, since each call for
// it is given up after a fixed time and begins anew.
func TestLargeObjectsPassSlowLinks(t *testing.T) {
	const (
		parts   = 20
		timeout = 500 * time.Millisecond
	)
	part := bytes.Repeat([]byte("0123456789"), 2_000)
	for name, tt := range map[string]struct {
		parts int // sent before the store stalls
		fails bool
	}{
		"slow":  {parts, false},
		"stall": {parts / 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("ETag", `"7"`)
				for range tt.parts {
					_, _ = w.Write(part)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(3 * timeout / parts) // 1.5 s in all
				}
				if tt.fails {
					<-r.Context().Done()
				}
			}))
			defer server.Close()
			c := &httpstore.Client{Base: server.URL, HTTP: server.Client(), Timeout: timeout, Wait: time.Millisecond}
			for call, read := range map[string]func() (store.Object, error){
				"get":   func() (store.Object, error) { return c.Get(t.Context(), key) },
				"watch": func() (store.Object, error) { return c.Watch(t.Context(), key, store.Version{}) },
			} {
				began := time.Now()
				o, err := read()
				t.Log(call, time.Since(began).Round(time.Millisecond), err)
				is.Equal(errors.Is(err, store.ErrUnavailable), tt.fails)
				is.Equal(err != nil, tt.fails)
				is.Equal(len(o.Value) == parts*len(part), !tt.fails)
			}
		})
	}
}

// Guards against writes of large publications that are given up while they are being sent.
func TestLargeWritesPassSlowLinks(t *testing.T) {
	is := is.New(t)
	const timeout = 300 * time.Millisecond
	value := bytes.Repeat([]byte("0123456789"), 100_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for n := int64(1); n > 0; time.Sleep(30 * time.Millisecond) {
			n, _ = io.CopyN(io.Discard, r.Body, 50_000) // 0.6 s in all
		}
		w.Header().Set("ETag", `"7"`)
	}))
	defer server.Close()
	c := &httpstore.Client{Base: server.URL, HTTP: server.Client(), Timeout: timeout}
	_, err := c.Put(t.Context(), key, value, store.IfAbsent())
	is.NoErr(err)
}
