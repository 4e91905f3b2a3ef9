package forward

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// streamedBody is a body that is too long to be buffered before it is sent.
type streamedBody struct {
	io.Reader
	begun     atomic.Bool // a part was read
	overLimit atomic.Bool
}

// Read reads from the body.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.begun.Store(true)
	n, err := b.Reader.Read(p)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		b.overLimit.Store(true)
	}
	return n, err
}

// failureCode returns the code of a failed send: that of a body over the limit takes
// precedence, since it is what made the send fail.
func (b *streamedBody) failureCode(code result.Code) result.Code {
	if b != nil && b.overLimit.Load() {
		return result.BodyOverLimit
	}
	return code
}
