package service

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Locate sets File and Line and returns the error. The line is that of the key,
// else of the table that should contain it, else 1.
func (e *FileError) Locate(name string, data []byte) *FileError {
	e.File = name
	l := locator{key: e.Key, item: e.Item, seen: -1}
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		l.visit(&parser, parser.Expression())
	}
	e.Line = max(l.line, 1)
	return e
}

// locator finds the line of a dotted key, or of the longest prefix of it that the
// file contains.
type locator struct {
	key    string
	item   int
	seen   int    // index of the current item of the key's list, -1 before the first
	prefix string // dotted name of the current table, with a trailing dot
	line   int
	length int
}

func (l *locator) visit(p *unstable.Parser, n *unstable.Node) {
	name, first := dottedKey(n)
	if first == nil {
		return
	}
	line := p.Shape(first.Raw).Start.Line
	switch n.Kind {
	case unstable.ArrayTable:
		if strings.HasPrefix(l.key+".", name+".") {
			l.seen++
		}
		l.prefix = name + "."
	case unstable.Table:
		l.prefix = name + "."
	default:
		name = l.prefix + name
	}
	inList := l.seen >= 0 && strings.HasPrefix(l.key, l.prefix)
	if inList && l.seen != l.item {
		return
	}
	if strings.HasPrefix(l.key+".", name+".") && len(name) > l.length {
		l.line, l.length = line, len(name)
	}
}

func dottedKey(n *unstable.Node) (string, *unstable.Node) {
	var (
		parts []string
		first *unstable.Node
	)
	for it := n.Key(); it.Next(); {
		part := it.Node()
		if first == nil {
			first = part
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), first
}
