package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessage is the largest message between entries, in bytes.
const MaxMessage = 8 << 20

// codec is jsonrpc2's varint codec with a limit on the size of a message read. It tells the
// meter of large messages.
type codec struct {
	jsonrpc2.VarintObjectCodec
	meter *meter
}

// ReadObject reads the next message into v.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxMessage {
		return eris.Errorf("message of %d bytes exceeds the limit", size)
	}
	c.meter.large.Store(size >= largeMessage)
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
