package store

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

type (
	// Era counts how often the store has been restored from an older copy. Each
	// era gives out again the revisions after that copy.
	Era uint64

	// Revision numbers the writes of an era.
	Revision uint64

	// Version is the version of an object, or of a change of the store. The zero
	// Version means that the object is absent.
	//
	// In text, a version of era 0 is its revision, such as 1200, and one of a
	// later era is preceded by the era, such as 2:1200. Formats with numbers of
	// their own use a number for era 0, which programs without eras understand.
	Version struct {
		// Era is the era in which the version was given out.
		Era Era
		// Revision orders the versions of an era.
		Revision Revision
	}
)

// eraSeparator separates era and revision in text.
const eraSeparator = ":"

// Latest returns the later of two versions.
func Latest(a, b Version) Version {
	if a.Before(b) {
		return b
	}
	return a
}

// ParseVersion parses the text form of a version.
func ParseVersion(text string) (Version, error) {
	era, revision, ok := strings.Cut(text, eraSeparator)
	if !ok {
		era, revision = "0", text
	}
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		return Version{}, eris.Errorf("version %q has no valid era", text)
	}
	r, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return Version{}, eris.Errorf("version %q has no valid revision", text)
	}
	return Version{Era: Era(e), Revision: Revision(r)}, nil
}

// Compare orders versions by era, then by revision. It returns -1, 0 or 1.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// Before reports whether v was given out before other.
func (v Version) Before(other Version) bool { return v.Compare(other) < 0 }

// IsZero reports whether v is the version of an absent object.
func (v Version) IsZero() bool { return v == Version{} }

// String returns the text form.
func (v Version) String() string {
	revision := strconv.FormatUint(uint64(v.Revision), 10)
	if v.Era == 0 {
		return revision
	}
	return strconv.FormatUint(uint64(v.Era), 10) + eraSeparator + revision
}

// MarshalText implements encoding.TextMarshaler.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Version) UnmarshalText(text []byte) error {
	parsed, err := ParseVersion(string(text))
	if err == nil {
		*v = parsed
	}
	return err
}

// MarshalJSON returns a number for era 0, otherwise a string with the text form.
func (v Version) MarshalJSON() ([]byte, error) {
	if v.Era == 0 {
		return json.Marshal(v.Revision)
	}
	return json.Marshal(v.String())
}

// UnmarshalJSON accepts both forms of MarshalJSON.
func (v *Version) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		return v.UnmarshalText([]byte(text))
	}
	var r Revision
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	*v = Version{Revision: r}
	return nil
}

// MarshalCBOR returns a number for era 0, otherwise a string with the text form.
func (v Version) MarshalCBOR() ([]byte, error) {
	if v.Era == 0 {
		return cbor.Marshal(v.Revision)
	}
	return cbor.Marshal(v.String())
}

// UnmarshalCBOR accepts both forms of MarshalCBOR.
func (v *Version) UnmarshalCBOR(data []byte) error {
	var r Revision
	if cbor.Unmarshal(data, &r) == nil {
		*v = Version{Revision: r}
		return nil
	}
	var text string
	if err := cbor.Unmarshal(data, &text); err != nil {
		return eris.Wrap(err, "decode version")
	}
	return v.UnmarshalText([]byte(text))
}
