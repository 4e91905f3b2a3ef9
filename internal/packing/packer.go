package packing

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// MinSize is the size from which values are packed, in bytes. Below it they fit into a
	// few packets.
	MinSize = 16 << 10
	// window limits the memory of the encoder and the decoder in bytes. It holds a
	// configuration of the largest size.
	window = 1 << 20
	// maxUnpacked is the largest size of an unpacked value in bytes.
	maxUnpacked = 64 << 20
)

// Packer packs values. The zero value is ready to use. It keeps its encoder, so that an entry
// should have one for all its values. It is safe for concurrent use.
type Packer struct {
	mu      sync.Mutex
	encoder *zstd.Encoder
}

// Pack returns the packed form of a value.
func (p *Packer) Pack(raw []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.encoder == nil {
		encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true))
		if err != nil {
			return nil, eris.Wrap(err, "create the encoder")
		}
		p.encoder = encoder
	}
	return p.encoder.EncodeAll(raw, nil), nil
}

// Unpack returns the value of a packed form.
func Unpack(packed []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, eris.Wrap(err, "create the decoder")
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(packed, nil)
	return raw, eris.Wrap(err, "decompress")
}
