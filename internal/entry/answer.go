package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const (
	maxBufferedResponse = 64 << 10
	copyBufferSize      = 32 << 10
)

type (
	// callerSink streams a response to the caller. Responses of known length,
	// and all responses to reads, are first buffered up to maxBufferedResponse
	// bytes, so that one truncated within these bytes is reported with its
	// result code, or retried.
	callerSink struct{ call *call }

	// errorBody is the body of an error response of the entry.
	errorBody struct {
		Code      result.Code `json:"code"`
		Name      string      `json:"name"`
		Ran       string      `json:"ran"`
		Meaning   string      `json:"meaning"`
		RequestID string      `json:"requestId"`
	}
)

// receive forwards the response.
func (s *callerSink) receive(resp *backend.Response) error {
	c := s.call
	var buffered []byte
	complete := false
	if c.class.Kind.Safe() || resp.Length >= 0 {
		b := make([]byte, min(maxBufferedResponse, lengthOrMax(resp.Length))+1)
		n, err := io.ReadFull(resp.Body, b)
		buffered = b[:n]
		// Compared with ==: a *backend.SendError may wrap io.EOF, but is a
		// failure and no regular end.
		complete = err == io.EOF || err == io.ErrUnexpectedEOF
		if err != nil && !complete {
			return err
		}
	}
	c.code = result.Served
	c.writeHeader(resp.Status, resp.Header, resp.Length, resp.Trailer)
	err := c.write(buffered)
	if err == nil && !complete {
		err = c.stream(resp)
	}
	if err != nil {
		c.recordFailure(err)
		return nil
	}
	c.setTrailer(resp.Trailer)
	return nil
}

func lengthOrMax(length int64) int64 {
	if length < 0 {
		return maxBufferedResponse
	}
	return length
}

// recordFailure records the result code of a response that ended while it was
// forwarded. finish then closes the caller's connection.
func (c *call) recordFailure(err error) {
	c.code = result.CallerGone
	var failed *backend.SendError
	if errors.As(err, &failed) {
		c.code, c.serverClosed = failed.Code, failed.ServerClosed
	}
}

// writeHeader writes the status and headers of a backend server's response.
func (c *call) writeHeader(status int, header http.Header, length int64, trailer http.Header) {
	h := c.w.Header()
	copyEndToEnd(h, header)
	h.Del("Content-Length")
	if length >= 0 && len(trailer) == 0 && status != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else if v := header.Get("Content-Length"); v != "" && c.r.Method == http.MethodHead {
		h.Set("Content-Length", v)
	}
	for k := range trailer {
		if !isSystemHeader(k) {
			h.Add("Trailer", k)
		}
	}
	c.setSystemHeaders()
	c.status, c.headerWritten = status, true
	c.w.WriteHeader(status)
}

// setSystemHeaders sets the Shallotpier headers of the response.
func (c *call) setSystemHeaders() {
	h := c.w.Header()
	h.Set(result.HeaderCode, c.code.String())
	h.Set(result.HeaderRan, c.code.Ran().String())
	h.Set(result.HeaderEntry, string(c.h.Instance))
	h.Set(result.HeaderRequestID, c.id)
	if c.table != nil {
		h.Set(result.HeaderVersion, strconv.FormatUint(uint64(c.table.Version), 10))
	}
	if c.server != "" {
		h.Set(result.HeaderServer, string(c.server))
	}
}

// stream copies the response body. A response of unknown length is flushed
// after each read.
func (c *call) stream(resp *backend.Response) error {
	buf, ok := c.h.instruments.buffers.Get().(*[]byte)
	if !ok {
		b := make([]byte, copyBufferSize)
		buf = &b
	}
	defer c.h.instruments.buffers.Put(buf)
	control := http.NewResponseController(c.w)
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			if werr := c.write((*buf)[:n]); werr != nil {
				return werr
			}
			if resp.Length < 0 {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write writes a part of the response, and fails if the caller does not read
// within callerIdleTimeout.
func (c *call) write(p []byte) error {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(time.Now().Add(c.h.callerIdleTimeout()))
	n, err := c.w.Write(p)
	c.bytesOut += int64(n)
	if err == nil {
		_ = control.SetWriteDeadline(time.Time{})
	}
	return err
}

func (c *call) setTrailer(trailer http.Header) {
	for k, vs := range trailer {
		if !isSystemHeader(k) {
			c.w.Header()[k] = vs
		}
	}
}

// writeError writes an error response of the entry. A positive retryAfter is
// rounded up to whole seconds.
func (c *call) writeError(code result.Code, retryAfter time.Duration) {
	c.code = code
	info, _ := code.Info()
	c.status = info.Status
	if c.status == 0 {
		c.status = http.StatusInternalServerError
	}
	c.setSystemHeaders()
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((retryAfter+time.Second-1)/time.Second), 10))
	}
	c.writeJSON(&errorBody{Code: code, Name: info.Name, Ran: info.Ran.String(), Meaning: info.Meaning, RequestID: c.id})
}

func (c *call) writeJSON(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.w.WriteHeader(http.StatusInternalServerError)
		return
	}
	c.headerWritten = true
	c.w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	c.w.WriteHeader(c.status)
	n, _ := c.w.Write(append(b, '\n'))
	c.bytesOut += int64(n)
}

func (c *call) serviceName() id.Service {
	if c.file == nil {
		return ""
	}
	return c.file.Service
}
