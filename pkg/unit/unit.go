package unit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Sizes in bytes.
const (
	Byte Bytes = 1
	KiB        = 1024 * Byte
	MiB        = 1024 * KiB
	GiB        = 1024 * MiB
)

// Rates in bits per second.
const (
	BitPerSecond BitRate = 1
	Kbit                 = 1000 * BitPerSecond
	Mbit                 = 1000 * Kbit
	Gbit                 = 1000 * Mbit
)

const bitsPerByte = 8

type (
	// Bytes is a size in bytes.
	Bytes int64
	// BitRate is a rate in bits per second.
	BitRate int64
	// Rate is a rate in requests per second.
	Rate float64
	// Duration is a time.Duration with a text form such as "1m30s".
	Duration time.Duration
)

// UnmarshalText decodes a whole number with an optional unit, such as "512",
// "512B", "64KiB", "20MiB" or "1GiB".
func (b *Bytes) UnmarshalText(text []byte) error {
	n, err := parse(string(text), []suffix{{"GiB", int64(GiB)}, {"MiB", int64(MiB)}, {"KiB", int64(KiB)}, {"B", 1}, {"", 1}})
	if err != nil {
		return eris.Wrapf(err, "size %q", text)
	}
	*b = Bytes(n)
	return nil
}

// MarshalText encodes the size in the largest unit that divides it.
func (b Bytes) MarshalText() ([]byte, error) {
	return []byte(format(int64(b), []suffix{{"GiB", int64(GiB)}, {"MiB", int64(MiB)}, {"KiB", int64(KiB)}, {"B", 1}})), nil
}

// UnmarshalText decodes a whole number with a unit, such as "4Gbit/s",
// "300Mbit/s", "64Kbit/s" or "1000bit/s".
func (r *BitRate) UnmarshalText(text []byte) error {
	n, err := parse(string(text), []suffix{{"Gbit/s", int64(Gbit)}, {"Mbit/s", int64(Mbit)}, {"Kbit/s", int64(Kbit)}, {"bit/s", 1}})
	if err != nil {
		return eris.Wrapf(err, "bit rate %q", text)
	}
	*r = BitRate(n)
	return nil
}

// MarshalText encodes the rate in the largest unit that divides it.
func (r BitRate) MarshalText() ([]byte, error) {
	return []byte(format(int64(r), []suffix{{"Gbit/s", int64(Gbit)}, {"Mbit/s", int64(Mbit)}, {"Kbit/s", int64(Kbit)}, {"bit/s", 1}})), nil
}

// BytesPerSecond returns the rate in bytes per second, rounded down.
func (r BitRate) BytesPerSecond() Bytes { return Bytes(r / bitsPerByte) }

// UnmarshalText decodes a duration in the form of time.ParseDuration; a negative
// one is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("duration %q: want a number with a unit, such as \"1m30s\"", text)
	}
	if v < 0 {
		return eris.Errorf("duration %q is negative, want 0 or more", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText encodes the duration in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

type suffix struct {
	text  string
	scale int64
}

func parse(text string, suffixes []suffix) (int64, error) {
	for _, s := range suffixes {
		digits, ok := strings.CutSuffix(text, s.text)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil {
			return 0, eris.New("want a whole number and a unit")
		}
		if n > uint64(math.MaxInt64/s.scale) {
			return 0, eris.New("out of range")
		}
		return int64(n) * s.scale, nil
	}
	return 0, eris.New("want a whole number and a unit")
}

func format(n int64, suffixes []suffix) string {
	for _, s := range suffixes {
		if n%s.scale == 0 && (n != 0 || s.scale == 1) {
			return strconv.FormatInt(n/s.scale, 10) + s.text
		}
	}
	return strconv.FormatInt(n, 10)
}
