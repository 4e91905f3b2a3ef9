package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

type (
	// Fingerprint identifies equal requests without storing their content.
	Fingerprint [16]byte

	// Traits are the properties of a request that its fingerprint is computed from.
	Traits struct {
		// Service is the request's service.
		Service id.Service
		// Method is the HTTP method.
		Method string
		// Path is the path within the service, with the query.
		Path string
		// Key is the caller's idempotency key, empty if it has none.
		Key string
		// Length is the declared length of the body, -1 if there is none.
		Length unit.Bytes
		// Digest is the digest of the body, empty if it is not known before the
		// request is sent.
		Digest string
	}
)

// Fingerprint returns the fingerprint of a request with these traits.
func (t *Traits) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, s := range []string{string(t.Service), t.Method, t.Path, t.Key, t.Digest} {
		fmt.Fprintf(h, "%d:%s,", len(s), s)
	}
	fmt.Fprintf(h, "%d", t.Length)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText encodes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText decodes a fingerprint from 32 hexadecimal digits.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	var next Fingerprint
	if len(text) != hex.EncodedLen(len(next)) {
		return eris.Errorf("fingerprint has %d digits, want %d", len(text), hex.EncodedLen(len(next)))
	}
	if _, err := hex.Decode(next[:], text); err != nil {
		return eris.New("fingerprint is not hexadecimal")
	}
	*f = next
	return nil
}
