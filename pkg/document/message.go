package document

import (
	"fmt"
	"strings"
)

// Message is one error in a section, with its position and the remedy.
type Message struct {
	File   string // name shown to the operator
	Line   int    // from 1
	Column int    // from 1, in bytes
	Length int    // bytes to underline
	Text   string // what is wrong
	Note   string // the remedy
	Source string // the line that holds the error
}

const tabWidth = 4 // columns

// String formats the message as compilers do, for example
//
//	ranks.toml:3:9: error: share "120%" is outside 0% to 100%
//	    3 | floor = "120%"
//	      |         ~~~~~~
//	  note: write a share such as "20%"
func (m Message) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: error: %s\n", m.File, m.Line, m.Column, m.Text)
	if m.Source != "" {
		gutter := fmt.Sprintf("%5d", m.Line)
		fmt.Fprintf(&b, "%s | %s\n", gutter, expandTabs(m.Source))
		fmt.Fprintf(&b, "%s | %s%s\n", strings.Repeat(" ", len(gutter)), m.indent(), m.underline())
	}
	if m.Note != "" {
		fmt.Fprintf(&b, "  note: %s\n", m.Note)
	}
	return b.String()
}

// indent returns the blanks before the underline.
func (m Message) indent() string {
	end := min(max(m.Column-1, 0), len(m.Source))
	return strings.Repeat(" ", len([]rune(expandTabs(m.Source[:end]))))
}

func (m Message) underline() string {
	if m.Length <= 1 {
		return "^"
	}
	return strings.Repeat("~", m.Length)
}

func expandTabs(text string) string {
	return strings.ReplaceAll(text, "\t", strings.Repeat(" ", tabWidth))
}

// Messages holds all errors that one check found.
type Messages []Message

// Error formats all messages, one after the other.
func (m Messages) Error() string {
	var b strings.Builder
	for _, message := range m {
		b.WriteString(message.String())
	}
	return b.String()
}

// Err returns the messages as an error, or nil when there are none.
func (m Messages) Err() error {
	if len(m) == 0 {
		return nil
	}
	return m
}
