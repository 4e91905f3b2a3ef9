package service

import (
	"encoding"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// strictChecker checks a TOML document against the type that it is decoded into
// where the decoder is too lenient: keys are case-sensitive, and a value whose
// type implements encoding.TextUnmarshaler must be a string that UnmarshalText
// accepts.
type strictChecker struct {
	parser unstable.Parser
	file   string
	table  reflect.Type // type of the current table, nil if it is not known
	prefix string       // dotted name of the current table, with a trailing dot
}

func checkStrict(file string, data []byte, root reflect.Type) *FileError {
	s := strictChecker{file: file, table: root}
	s.parser.Reset(data)
	for s.parser.NextExpression() {
		if e := s.checkExpression(s.parser.Expression(), root); e != nil {
			return e
		}
	}
	return nil
}

func (s *strictChecker) checkExpression(n *unstable.Node, root reflect.Type) *FileError {
	if n.Kind == unstable.KeyValue {
		return s.checkKeyValue(s.table, s.prefix, n)
	}
	name, first := dottedKey(n)
	if first == nil {
		return nil
	}
	t, e := s.descend(root, "", n)
	s.table, s.prefix = t, name+"."
	return e
}

func (s *strictChecker) checkKeyValue(table reflect.Type, prefix string, n *unstable.Node) *FileError {
	t, e := s.descend(table, prefix, n)
	if e != nil || t == nil {
		return e
	}
	name, first := dottedKey(n)
	return s.checkValue(t, prefix+name, s.line(first), n.Value())
}

func (s *strictChecker) checkValue(t reflect.Type, key string, line int, n *unstable.Node) *FileError {
	switch {
	case isTextUnmarshaler(t):
		return s.checkText(t, key, line, n)
	case n.Kind == unstable.Array && isList(t):
		for it := n.Children(); it.Next(); {
			if e := s.checkValue(t.Elem(), key, line, it.Node()); e != nil {
				return e
			}
		}
	case n.Kind == unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			if e := s.checkKeyValue(t, key+".", it.Node()); e != nil {
				return e
			}
		}
	}
	return nil
}

func (s *strictChecker) checkText(t reflect.Type, key string, line int, n *unstable.Node) *FileError {
	e := &FileError{File: s.file, Line: line, Key: key, Code: result.WrongType}
	if n.Kind != unstable.String {
		e.Text = "want a string in quotes"
		return e
	}
	v, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if !ok {
		return nil
	}
	if err := v.UnmarshalText(n.Data); err != nil {
		e.Text = err.Error()
		return e
	}
	return nil
}

// descend returns the type of the field that the node's key selects in t; nil if
// t has no fields that could be checked.
func (s *strictChecker) descend(t reflect.Type, prefix string, n *unstable.Node) (reflect.Type, *FileError) {
	for it := n.Key(); it.Next(); {
		part := it.Node()
		for t != nil && (isList(t) || t.Kind() == reflect.Pointer) {
			t = t.Elem()
		}
		if t == nil || t.Kind() != reflect.Struct || isTextUnmarshaler(t) {
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

func (s *strictChecker) line(n *unstable.Node) int { return s.parser.Shape(n.Raw).Start.Line }

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

func isTextUnmarshaler(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}
