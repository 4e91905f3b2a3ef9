package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"log/slog"

	"github.com/rotisserie/eris"
)

const (
	// Reader may see everything and change nothing.
	Reader Role = "read"
	// Writer may drain, undrain and lift quarantines besides.
	Writer Role = "write"
)

const (
	// Debug logs everything.
	Debug Level = "debug"
	// Info logs events that are part of normal work.
	Info Level = "info"
	// Warn logs what an operator should look at.
	Warn Level = "warn"
	// Error logs failures only.
	Error Level = "error"
)

const (
	// KeyValue writes one line of key=value pairs for each event.
	KeyValue Format = "keyValue"
	// JSON writes one JSON object a line for each event.
	JSON Format = "json"
)

type (
	// Role tells what an operator may do. The zero Role may do nothing.
	Role string
	// Level is the least level that is logged.
	Level string
	// Format is the form of a log line.
	Format string
	// Hash is the SHA-256 of a bearer token, in hexadecimal as text.
	Hash [sha256.Size]byte
)

// HashToken returns the hash of a bearer token.
func HashToken(token string) Hash { return sha256.Sum256([]byte(token)) }

// Equal compares two hashes in constant time.
func (h Hash) Equal(other Hash) bool { return subtle.ConstantTimeCompare(h[:], other[:]) == 1 }

// UnmarshalText decodes 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return eris.Errorf("hash has %d characters, want %d", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return eris.New("hash: want hexadecimal digits")
	}
	return nil
}

// UnmarshalText decodes "read" or "write".
func (r *Role) UnmarshalText(text []byte) error {
	return choose(r, "role", text, Reader, Writer)
}

// UnmarshalText decodes "debug", "info", "warn" or "error".
func (l *Level) UnmarshalText(text []byte) error {
	return choose(l, "level", text, Debug, Info, Warn, Error)
}

// Slog returns the level as log/slog has it.
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
	return choose(f, "format", text, KeyValue, JSON)
}

// choose sets dst to the text if it is one of the choices.
func choose[T ~string](dst *T, what string, text []byte, choices ...T) error {
	for _, c := range choices {
		if string(c) == string(text) {
			*dst = c
			return nil
		}
	}
	return eris.Errorf("%s %q: want one of %q", what, text, choices)
}
