package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"log/slog"

	"github.com/rotisserie/eris"
)

const (
	// Reader may use all commands that only read.
	Reader Role = "read"
	// Writer may also drain, undrain and lift quarantines.
	Writer Role = "write"
)

const (
	// Debug logs everything.
	Debug Level = "debug"
	// Info logs events of normal operation, warnings and failures.
	Info Level = "info"
	// Warn logs events that need an operator's attention, and failures.
	Warn Level = "warn"
	// Error logs failures only.
	Error Level = "error"
)

const (
	// KeyValue writes each event as a line of key=value pairs.
	KeyValue Format = "keyValue"
	// JSON writes each event as a line with one JSON object.
	JSON Format = "json"
)

type (
	// Role determines which commands an operator may use. The zero Role allows
	// none.
	Role string
	// Level is the lowest level that is logged.
	Level string
	// Format is the format of a log line.
	Format string
	// Hash is the SHA-256 of a bearer token; its text form is hexadecimal.
	Hash [sha256.Size]byte
)

// HashToken returns the SHA-256 of a bearer token.
func HashToken(token string) Hash { return sha256.Sum256([]byte(token)) }

// Equal compares two hashes in constant time.
func (h Hash) Equal(other Hash) bool { return subtle.ConstantTimeCompare(h[:], other[:]) == 1 }

// UnmarshalText decodes 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return eris.Errorf("hash has %d characters, must have %d hexadecimal digits", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return eris.New("hash must consist of hexadecimal digits only")
	}
	return nil
}

// UnmarshalText decodes "read" or "write".
func (r *Role) UnmarshalText(text []byte) error {
	return parseChoice(r, "role", text, Reader, Writer)
}

// UnmarshalText decodes "debug", "info", "warn" or "error".
func (l *Level) UnmarshalText(text []byte) error {
	return parseChoice(l, "level", text, Debug, Info, Warn, Error)
}

// Slog returns the level as a slog.Level.
func (l Level) Slog() slog.Level {
	switch l {
	case Debug:
		return slog.LevelDebug
	case Warn:
		return slog.LevelWarn
	case Error:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// UnmarshalText decodes "keyValue" or "json".
func (f *Format) UnmarshalText(text []byte) error {
	return parseChoice(f, "format", text, KeyValue, JSON)
}

// parseChoice sets dst to the text if it is one of the choices.
func parseChoice[T ~string](dst *T, key string, text []byte, choices ...T) error {
	for _, c := range choices {
		if string(c) == string(text) {
			*dst = c
			return nil
		}
	}
	return eris.Errorf("%s %q is not valid, must be one of %q", key, text, choices)
}
