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
	heldAnswer = 64 << 10
	copySize   = 32 << 10
)

type (
	// directAnswer passes an answer on to the caller as it comes. Answers of
	// announced length, and all answers to reads, are held back up to
	// heldAnswer bytes, so that one that breaks off before gets an honest code
	// or can be asked for again.
	directAnswer struct{ call *call }

	// refusal is the body of an answer that the entry itself gives.
	refusal struct {
		Code      result.Code `json:"code"`
		Name      string      `json:"name"`
		Ran       string      `json:"ran"`
		Meaning   string      `json:"meaning"`
		RequestID string      `json:"requestId"`
	}
)

// take passes the answer on.
func (d *directAnswer) take(ans *backend.Response) error {
	c := d.call
	var held []byte
	whole := false
	if c.class.Kind.Safe() || ans.Length >= 0 {
		b := make([]byte, min(heldAnswer, knownSize(ans.Length))+1)
		n, err := io.ReadFull(ans.Body, b)
		held = b[:n]
		// A *backend.SendError may wrap an end of file; it is none.
		whole = err == io.EOF || err == io.ErrUnexpectedEOF
		if err != nil && !whole {
			return err
		}
	}
	c.code = result.Served
	c.head(ans.Status, ans.Header, ans.Length, ans.Trailer)
	err := c.write(held)
	if err == nil && !whole {
		err = c.stream(ans)
	}
	if err != nil {
		c.cut(err)
		return nil
	}
	c.trail(ans.Trailer)
	return nil
}

func knownSize(length int64) int64 {
	if length < 0 {
		return heldAnswer
	}
	return length
}

// cut notes how a passed-on answer broke off, and ends the connection.
func (c *call) cut(err error) {
	c.code = result.CallerGone
	var failed *backend.SendError
	if errors.As(err, &failed) {
		c.code, c.broken = failed.Code, failed.ServerClosed
	}
}

// head writes status and headers of a backend server's answer.
func (c *call) head(status int, header http.Header, length int64, trailer http.Header) {
	h := c.w.Header()
	passOn(h, header)
	h.Del("Content-Length")
	if length >= 0 && len(trailer) == 0 && status != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else if v := header.Get("Content-Length"); v != "" && c.r.Method == http.MethodHead {
		h.Set("Content-Length", v)
	}
	for k := range trailer {
		if !isInternal(k) {
			h.Add("Trailer", k)
		}
	}
	c.own()
	c.status, c.headed = status, true
	c.w.WriteHeader(status)
}

// own sets the headers of the system.
func (c *call) own() {
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

// stream copies the answer's body. An answer of unknown length is flushed as
// it comes.
func (c *call) stream(ans *backend.Response) error {
	buf, ok := c.h.observe.buffers.Get().(*[]byte)
	if !ok {
		b := make([]byte, copySize)
		buf = &b
	}
	defer c.h.observe.buffers.Put(buf)
	control := http.NewResponseController(c.w)
	for {
		n, err := ans.Body.Read(*buf)
		if n > 0 {
			if werr := c.write((*buf)[:n]); werr != nil {
				return werr
			}
			if ans.Length < 0 {
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

// write writes a part of the answer, and fails if the caller takes nothing of
// it for too long.
func (c *call) write(p []byte) error {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(time.Now().Add(c.h.callerSilence()))
	n, err := c.w.Write(p)
	c.out += int64(n)
	if err == nil {
		_ = control.SetWriteDeadline(time.Time{})
	}
	return err
}

func (c *call) trail(trailer http.Header) {
	for k, vs := range trailer {
		if !isInternal(k) {
			c.w.Header()[k] = vs
		}
	}
}

// refuse answers in the entry's own name.
func (c *call) refuse(code result.Code, after time.Duration) {
	c.code = code
	info, _ := code.Info()
	c.status = info.Status
	if c.status == 0 {
		c.status = http.StatusInternalServerError
	}
	c.own()
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	c.writeJSON(&refusal{Code: code, Name: info.Name, Ran: info.Ran.String(), Meaning: info.Meaning, RequestID: c.id})
}

func (c *call) writeJSON(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.w.WriteHeader(http.StatusInternalServerError)
		return
	}
	c.headed = true
	c.w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	c.w.WriteHeader(c.status)
	n, _ := c.w.Write(append(b, '\n'))
	c.out += int64(n)
}

func (c *call) serviceName() id.Service {
	if c.file == nil {
		return ""
	}
	return c.file.Service
}
