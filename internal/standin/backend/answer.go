package backend

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/result"
)

const maxAddedBytes = 1 << 30

// answer answers a request that ran. The query parameter "size" adds that many
// bytes to the body, and "status" sets the status. Trailers of the request are
// echoed. end records that the request is no longer running.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, body int64, how ResponseFault, end func()) {
	text := s.text(r, body)
	if how != Intact {
		s.sendMalformed(w, r, text, how, end)
		return
	}
	for k := range r.Trailer {
		w.Header().Add("Trailer", k)
	}
	size, _ := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if size > 0 && size <= maxAddedBytes {
		w.Header().Set("Content-Length", strconv.FormatInt(int64(len(text))+size, 10))
	}
	if status, err := strconv.Atoi(r.URL.Query().Get("status")); err == nil && status >= 200 && status <= 599 {
		w.WriteHeader(status)
	}
	_, _ = io.WriteString(w, text)
	if size > 0 && size <= maxAddedBytes {
		_, _ = io.CopyN(w, zeros{}, size)
	}
	for k := range r.Trailer {
		w.Header().Set(k, r.Trailer.Get(k))
	}
}

// sendMalformed takes over the connection and answers with a fault. It calls end
// before it closes a connection, because a client may take the close as proof that
// the request is no longer running.
func (s *Server) sendMalformed(w http.ResponseWriter, r *http.Request, text string, how ResponseFault, end func()) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	send := r.Header.Get(result.HeaderSend)
	switch how {
	case Truncated, Stalled:
		writeAnswer(buf.Writer, send, text, len(text)+1)
	case Overlong:
		writeAnswer(buf.Writer, send, text+text, len(text))
	case Duplicate:
		writeAnswer(buf.Writer, send, text, len(text))
		writeAnswer(buf.Writer, send, text, len(text))
	case Unframed:
		writeAnswer(buf.Writer, send, text, -1)
	case WrongSendID:
		writeAnswer(buf.Writer, send+"x", strings.ToUpper(text), len(text))
	}
	_ = buf.Flush()
	if how == Truncated || how == Unframed || how == NoAnswer {
		end()
		_ = c.Close()
		return
	}
	// The connection stays open, so that the client may wrongly reuse it.
	_, _ = io.Copy(io.Discard, buf)
	_ = c.Close()
}

func writeAnswer(w *bufio.Writer, send, text string, length int) {
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\n" + result.HeaderSend + ": " + send + "\r\n")
	if length >= 0 {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	_, _ = w.WriteString("\r\n" + text)
}

type zeros struct{}

// Read fills p with the digit 0.
func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}
