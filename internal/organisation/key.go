package organisation

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxKeyLength is the greatest length of a key in bytes. It is below the limit of a
	// request's header, and bounds the time that a lookup takes.
	maxKeyLength = 8 << 10
	// fingerprintBytes is the length of a fingerprint. Half of the 10,000 keys of a large
	// deployment would have to be tried to find two equal ones by chance, which is harmless.
	fingerprintBytes = 5

	bearerScheme = "bearer"
)

// Reasons why a request carries no key of an organisation.
const (
	// KeyMissing means that it has no key.
	KeyMissing KeyProblem = "missing"
	// KeyRepeated means that it has several Authorization headers.
	KeyRepeated KeyProblem = "repeated"
	// KeyOtherScheme means that its credentials are of another scheme than Bearer.
	KeyOtherScheme KeyProblem = "otherScheme"
	// KeyUnknown means that no organisation holds its key, or several do.
	KeyUnknown KeyProblem = "unknown"
)

type (
	// KeyHash is the SHA-256 hash of a key.
	KeyHash [sha256.Size]byte

	// Fingerprint identifies a key in logs and operators' output. The key can't be derived
	// from it.
	Fingerprint string

	// KeyProblem is the reason why a request carries no key of an organisation, empty if it
	// carries one.
	KeyProblem string
)

// HashKey returns the hash of a key of a configuration. Its errors don't contain the key.
func HashKey(key string) (KeyHash, error) {
	switch i := strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r == 0x7f }); {
	case key == "":
		return KeyHash{}, eris.New("is empty")
	case len(key) > maxKeyLength:
		return KeyHash{}, eris.Errorf("is %d bytes long, want at most %d", len(key), maxKeyLength)
	case i >= 0:
		return KeyHash{}, eris.Errorf("has a space or control character at byte %d, which no request can carry", i)
	}
	return sha256.Sum256([]byte(key)), nil
}

// FingerprintOf returns the fingerprint of a key, empty if there is no key.
func FingerprintOf(key string) Fingerprint {
	if key == "" {
		return ""
	}
	if len(key) > maxKeyLength {
		key = key[:maxKeyLength]
	}
	return KeyHash(sha256.Sum256([]byte(key))).Fingerprint()
}

// Fingerprint returns the fingerprint of the key.
func (h KeyHash) Fingerprint() Fingerprint {
	return Fingerprint(hex.EncodeToString(h[:fingerprintBytes]))
}

// MarshalText encodes the hash in base64, since a snapshot has many.
func (h KeyHash) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText decodes a hash in base64.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != base64.RawStdEncoding.EncodedLen(len(h)) {
		return eris.Errorf("hash of a key has %d characters, want %d", len(text), base64.RawStdEncoding.EncodedLen(len(h)))
	}
	_, err := base64.RawStdEncoding.Decode(h[:], text)
	return eris.Wrap(err, "hash of a key")
}

// BearerKey returns the key in the values of a request's Authorization headers, or the reason
// why there is none. Several headers hold no key, since servers and entries may choose
// different ones. The case of the scheme and the number of spaces after it don't matter.
func BearerKey(values []string) (string, KeyProblem) {
	switch len(values) {
	case 0:
		return "", KeyMissing
	case 1:
	default:
		return "", KeyRepeated
	}
	scheme, rest := cutScheme(values[0])
	switch {
	case !strings.EqualFold(scheme, bearerScheme):
		return "", KeyOtherScheme
	case rest == "":
		return "", KeyMissing
	default:
		return rest, ""
	}
}

// cutScheme splits the value of an Authorization header after its scheme.
func cutScheme(value string) (scheme, rest string) {
	value = strings.Trim(value, " \t")
	i := strings.IndexAny(value, " \t")
	if i < 0 {
		return value, ""
	}
	return value[:i], strings.TrimLeft(value[i:], " \t")
}
