package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// span is the position of a value or table header in a section's text.
type span struct {
	offset int
	length int
}

// locator finds the text behind a path such as "service[1].rule[0].rank".
type locator struct {
	file  string
	text  []byte
	spans map[string]span
}

func newLocator(file string, text []byte) *locator { return &locator{file: file, text: text} }

// walk finds the positions of all values, once the first message needs one; a
// sound section of 510,000 blocks needs none. Text that does not parse yields
// the positions up to the error.
func (l *locator) walk() {
	l.spans = make(map[string]span)
	parser := unstable.Parser{}
	parser.Reset(l.text)
	counts := make(map[string]int)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.ArrayTable:
			prefix = l.arrayTable(node, counts)
		case unstable.Table:
			prefix = l.resolve(node, counts)
			l.add(prefix, firstKeySpan(node))
		case unstable.KeyValue:
			l.keyValue(node, prefix)
		}
	}
}

func keyParts(node *unstable.Node) []string {
	var parts []string
	for it := node.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}

func firstKeySpan(node *unstable.Node) span {
	it := node.Key()
	if !it.Next() {
		return span{}
	}
	raw := it.Node().Raw
	return span{offset: int(raw.Offset), length: int(raw.Length)}
}

// arrayTable numbers a [[a.b]] header below the latest element of [[a]].
func (l *locator) arrayTable(node *unstable.Node, counts map[string]int) string {
	path := l.resolve(node, counts)
	index := counts[path]
	counts[path] = index + 1
	element := fmt.Sprintf("%s[%d]", path, index)
	l.add(element, firstKeySpan(node))
	return element
}

func (l *locator) resolve(node *unstable.Node, counts map[string]int) string {
	path := ""
	for _, part := range keyParts(node) {
		if path != "" {
			if n := counts[path]; n > 0 {
				path = fmt.Sprintf("%s[%d]", path, n-1)
			}
			path += "."
		}
		path += part
	}
	return path
}

func (l *locator) keyValue(node *unstable.Node, prefix string) {
	path := strings.Join(keyParts(node), ".")
	if prefix != "" {
		path = prefix + "." + path
	}
	l.value(path, node.Value(), firstKeySpan(node))
}

func (l *locator) value(path string, value *unstable.Node, fallback span) {
	place := fallback
	if value.Raw.Length > 0 {
		place = span{offset: int(value.Raw.Offset), length: int(value.Raw.Length)}
	}
	l.add(path, place)
	if value.Kind != unstable.Array {
		return
	}
	index := 0
	for it := value.Children(); it.Next(); index++ {
		l.value(fmt.Sprintf("%s[%d]", path, index), it.Node(), fallback)
	}
}

func (l *locator) add(path string, place span) {
	if _, exists := l.spans[path]; !exists {
		l.spans[path] = place
	}
}

// message builds a finding at the path, or at its nearest known parent.
func (l *locator) message(path, note, format string, args ...any) Message {
	if l.spans == nil {
		l.walk()
	}
	place, found := l.spans[path]
	for !found && path != "" {
		path = parentPath(path)
		place, found = l.spans[path]
	}
	return l.at(place, note, fmt.Sprintf(format, args...))
}

func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

func (l *locator) at(place span, note, text string) Message {
	offset := min(place.offset, len(l.text))
	start := bytes.LastIndexByte(l.text[:offset], '\n') + 1
	end := len(l.text)
	if cut := bytes.IndexByte(l.text[offset:], '\n'); cut >= 0 {
		end = offset + cut
	}
	return Message{
		File:   l.file,
		Line:   bytes.Count(l.text[:offset], []byte("\n")) + 1,
		Column: offset - start + 1,
		Length: min(place.length, end-offset),
		Text:   text,
		Note:   note,
		Source: strings.TrimRight(string(l.text[start:end]), "\r"),
	}
}
