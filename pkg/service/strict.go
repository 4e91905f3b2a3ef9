package service

import (
	"encoding"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// strict checks a TOML document against the type it is to be decoded into,
// where the decoder is lenient: keys must match in case too, and a value whose
// type has a text form must be a string that UnmarshalText accepts.
type strict struct {
	parser unstable.Parser
	file   string
	table  reflect.Type // nil where nothing is known of the current table
	prefix string       // dotted name of the current table with a final dot
}

func checkStrict(file string, data []byte, root reflect.Type) *FileError {
	s := strict{file: file, table: root}
	s.parser.Reset(data)
	for s.parser.NextExpression() {
		if p := s.visit(s.parser.Expression(), root); p != nil {
			return p
		}
	}
	return nil
}

func (s *strict) visit(n *unstable.Node, root reflect.Type) *FileError {
	if n.Kind == unstable.KeyValue {
		return s.keyValue(s.table, s.prefix, n)
	}
	name, first := dottedKey(n)
	if first == nil {
		return nil
	}
	t, p := s.descend(root, "", n)
	s.table, s.prefix = t, name+"."
	return p
}

func (s *strict) keyValue(table reflect.Type, prefix string, n *unstable.Node) *FileError {
	t, p := s.descend(table, prefix, n)
	if p != nil || t == nil {
		return p
	}
	name, first := dottedKey(n)
	return s.value(t, prefix+name, s.line(first), n.Value())
}

func (s *strict) value(t reflect.Type, key string, line int, n *unstable.Node) *FileError {
	switch {
	case hasText(t):
		return s.text(t, key, line, n)
	case n.Kind == unstable.Array && isList(t):
		for it := n.Children(); it.Next(); {
			if p := s.value(t.Elem(), key, line, it.Node()); p != nil {
				return p
			}
		}
	case n.Kind == unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			if p := s.keyValue(t, key+".", it.Node()); p != nil {
				return p
			}
		}
	}
	return nil
}

func (s *strict) text(t reflect.Type, key string, line int, n *unstable.Node) *FileError {
	p := &FileError{File: s.file, Line: line, Key: key, Code: result.WrongType}
	if n.Kind != unstable.String {
		p.Text = "want a string in quotes"
		return p
	}
	v, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if !ok {
		return nil
	}
	if err := v.UnmarshalText(n.Data); err != nil {
		p.Text = err.Error()
		return p
	}
	return nil
}

// descend returns the type that the node's key leads to from t.
func (s *strict) descend(t reflect.Type, prefix string, n *unstable.Node) (reflect.Type, *FileError) {
	for it := n.Key(); it.Next(); {
		part := it.Node()
		for t != nil && (isList(t) || t.Kind() == reflect.Pointer) {
			t = t.Elem()
		}
		if t == nil || t.Kind() != reflect.Struct || hasText(t) {
			return nil, nil
		}
		field, ok := fieldOf(t, string(part.Data))
		prefix += string(part.Data)
		if !ok {
			return nil, &FileError{File: s.file, Line: s.line(part), Key: prefix, Code: result.UnknownKey, Text: "the key is not known"}
		}
		t, prefix = field, prefix+"."
	}
	return t, nil
}

func (s *strict) line(n *unstable.Node) int { return s.parser.Shape(n.Raw).Start.Line }

func fieldOf(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if tag == key && tag != "-" {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func isList(t reflect.Type) bool { return t.Kind() == reflect.Slice || t.Kind() == reflect.Array }

func hasText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}
