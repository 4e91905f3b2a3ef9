// Package rawjson splits JSON texts into the texts of their parts without decoding them.
//
// encoding/json rejects a whole text for one value in it that it can't represent or that is
// nested too deeply. Where a text holds the values of several writers, split it with
// [Elements] and [Fields] first and decode the parts one by one, so that one of them can't
// hide the others.
//
// Only what is needed to find the ends of values is checked: brackets and quotes. A part
// may be no valid JSON.
//
// # Usage
//
//	fields, err := rawjson.Fields(text)
//	items, err := rawjson.Elements(fields["items"])
//	for _, item := range items {
//		err := json.Unmarshal(item, &v)
//	}
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// delimiters end a number or a literal.
const delimiters = `,:"[]{}`

// errEnd is the error of a text that ends within a value.
var errEnd = errors.New("unexpected end of JSON text")

// scanner reads a text from start to end.
type scanner struct {
	text []byte
	pos  int
}

// Fields returns the texts of an object's values by key, nil for null or an empty text. The
// values share the text's memory. Of several values of a key the last one counts.
func Fields(text []byte) (map[string][]byte, error) {
	var fields map[string][]byte
	err := EachField(text, func(_ int, key string, value []byte) {
		if fields == nil {
			fields = make(map[string][]byte)
		}
		fields[key] = value
	})
	return fields, err
}

// EachField calls use for each value of an object, in order, with the position of its key in
// the text in bytes. The value shares the text's memory.
func EachField(text []byte, use func(pos int, key string, value []byte)) error {
	return split(text, '{', '}', func(s *scanner) error {
		s.skipSpace()
		pos := s.pos
		quoted, err := s.value()
		if err != nil {
			return err
		}
		key, err := decodeKey(quoted)
		if err != nil {
			return fmt.Errorf("key before byte %d: %w", s.pos, err)
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		use(pos, key, value)
		return nil
	})
}

// decodeKey decodes a key. Plain keys, as nearly all are, need no decoder.
func decodeKey(quoted []byte) (string, error) {
	plain := len(quoted) >= 2 && quoted[0] == '"' && !bytes.ContainsFunc(quoted, func(r rune) bool {
		return r < ' ' || r > '~' || r == '\\'
	})
	if plain {
		return string(quoted[1 : len(quoted)-1]), nil
	}
	var key string
	err := json.Unmarshal(quoted, &key)
	return key, err
}

// Elements returns the texts of an array's elements, nil for null or an empty text. They
// share the text's memory.
func Elements(text []byte) ([][]byte, error) {
	var elements [][]byte
	err := split(text, '[', ']', func(s *scanner) error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	return elements, err
}

// split calls part for each of the parts between two brackets, which are separated by commas.
func split(text []byte, opening, closing byte, part func(*scanner) error) error {
	if trimmed := bytes.TrimSpace(text); len(trimmed) == 0 || string(trimmed) == "null" {
		return nil
	}
	s := &scanner{text: text}
	if err := s.expect(opening); err != nil {
		return err
	}
	if s.skipSpace(); s.next() == closing {
		s.pos++
		return s.end()
	}
	for {
		if err := part(s); err != nil {
			return err
		}
		s.skipSpace()
		if s.next() == closing {
			s.pos++
			return s.end()
		}
		if err := s.expect(','); err != nil {
			return err
		}
	}
}

// next returns the next byte, 0 at the end.
func (s *scanner) next() byte {
	if s.pos < len(s.text) {
		return s.text[s.pos]
	}
	return 0
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.text) && isSpace(s.text[s.pos]) {
		s.pos++
	}
}

// expect skips a byte, and the white space before it.
func (s *scanner) expect(want byte) error {
	s.skipSpace()
	if s.pos == len(s.text) {
		return errEnd
	}
	if got := s.text[s.pos]; got != want {
		return fmt.Errorf("unexpected %q at byte %d of JSON text, want %q", got, s.pos, want)
	}
	s.pos++
	return nil
}

// end reports an error if anything but white space is left.
func (s *scanner) end() error {
	if s.skipSpace(); s.pos < len(s.text) {
		return fmt.Errorf("unexpected %q at byte %d of JSON text, want its end", s.text[s.pos], s.pos)
	}
	return nil
}

// value returns the text of the next value.
func (s *scanner) value() ([]byte, error) {
	s.skipSpace()
	start, depth := s.pos, 0
	for s.pos < len(s.text) {
		switch c := s.text[s.pos]; {
		case c == '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
		case c == '{' || c == '[':
			depth++
			s.pos++
		case depth > 0 && (c == '}' || c == ']'):
			depth--
			s.pos++
		case depth > 0:
			s.pos++
			continue
		default:
			s.skipWord()
		}
		if depth == 0 {
			if s.pos == start {
				return nil, fmt.Errorf("unexpected %q at byte %d of JSON text, want a value", s.text[start], start)
			}
			return s.text[start:s.pos], nil
		}
	}
	return nil, errEnd
}

// skipString skips a string, whose first quote is next.
func (s *scanner) skipString() error {
	for s.pos++; s.pos < len(s.text); s.pos++ {
		switch s.text[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return nil
		}
	}
	return errEnd
}

// skipWord skips a number or a literal.
func (s *scanner) skipWord() {
	for s.pos < len(s.text) && !isSpace(s.text[s.pos]) && strings.IndexByte(delimiters, s.text[s.pos]) < 0 {
		s.pos++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }
