package document

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// span is the position in bytes of a value or table header in a section's text.
type span struct {
	offset int
	length int
}

// locator finds the position of a path such as "service[1].rule[0].rank" in a
// section's text.
type locator struct {
	file  string
	text  []byte
	spans map[string]span // by path; nil until the first message
}

func newLocator(file string, text []byte) *locator { return &locator{file: file, text: text} }

// findSpans finds the positions of all values. It runs only when the first
// message needs a position, which saves the work for a valid section, such as
// one of 510,000 blocks. Text that does not parse yields the positions up to the
// error.
func (l *locator) findSpans() {
	l.spans = make(map[string]span)
	parser := unstable.Parser{}
	parser.Reset(l.text)
	counts := make(map[string]int)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.ArrayTable:
			prefix = l.addArrayTable(node, counts)
		case unstable.Table:
			prefix = l.resolvePath(node, counts)
			l.addSpan(prefix, firstKeySpan(node))
		case unstable.KeyValue:
			l.addKeyValue(node, prefix)
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

// addArrayTable adds a [[a.b]] header as the next element below the latest
// element of [[a]] and returns its path.
func (l *locator) addArrayTable(node *unstable.Node, counts map[string]int) string {
	path := l.resolvePath(node, counts)
	index := counts[path]
	counts[path] = index + 1
	element := fmt.Sprintf("%s[%d]", path, index)
	l.addSpan(element, firstKeySpan(node))
	return element
}

// resolvePath returns the path of a table header; counts holds how many elements
// each array of tables has so far.
func (l *locator) resolvePath(node *unstable.Node, counts map[string]int) string {
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

func (l *locator) addKeyValue(node *unstable.Node, prefix string) {
	path := strings.Join(keyParts(node), ".")
	if prefix != "" {
		path = prefix + "." + path
	}
	l.addValue(path, node.Value(), firstKeySpan(node))
}

// addValue adds a value and the elements of an array. The fallback, the span of
// the key, serves values of which the parser gives no position.
func (l *locator) addValue(path string, value *unstable.Node, fallback span) {
	position := fallback
	if value.Raw.Length > 0 {
		position = span{offset: int(value.Raw.Offset), length: int(value.Raw.Length)}
	}
	l.addSpan(path, position)
	if value.Kind != unstable.Array {
		return
	}
	index := 0
	for it := value.Children(); it.Next(); index++ {
		l.addValue(fmt.Sprintf("%s[%d]", path, index), it.Node(), fallback)
	}
}

// addSpan keeps the first position of a path.
func (l *locator) addSpan(path string, position span) {
	if _, exists := l.spans[path]; !exists {
		l.spans[path] = position
	}
}

// messageAtPath returns a message at the path, or at its nearest parent in the
// text.
func (l *locator) messageAtPath(path, note, format string, args ...any) Message {
	if l.spans == nil {
		l.findSpans()
	}
	position, found := l.spans[path]
	for !found && path != "" {
		path = parentPath(path)
		position, found = l.spans[path]
	}
	return l.messageAtSpan(position, note, fmt.Sprintf(format, args...))
}

func parentPath(path string) string {
	separator := strings.LastIndexAny(path, ".[")
	if separator < 0 {
		return ""
	}
	return path[:separator]
}

// messageAtSpan returns a message with the line of the span.
func (l *locator) messageAtSpan(position span, note, text string) Message {
	offset := min(position.offset, len(l.text))
	start := bytes.LastIndexByte(l.text[:offset], '\n') + 1
	end := len(l.text)
	if newline := bytes.IndexByte(l.text[offset:], '\n'); newline >= 0 {
		end = offset + newline
	}
	return Message{
		File:   l.file,
		Line:   bytes.Count(l.text[:offset], []byte("\n")) + 1,
		Column: offset - start + 1,
		Length: min(position.length, end-offset),
		Text:   text,
		Note:   note,
		Source: strings.TrimRight(string(l.text[start:end]), "\r"),
	}
}
