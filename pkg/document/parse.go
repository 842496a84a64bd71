package document

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Text is the source of one section.
type Text struct {
	File  string // name shown in messages
	Bytes []byte // TOML
}

// Texts is the source of the whole document; a missing section is empty.
type Texts map[Section]Text

// Parse decodes and checks all sections together. It returns all errors in
// decoding, or else all that the checks find; the document is nil then.
func Parse(texts Texts) (*Document, Messages) {
	document := &Document{}
	locators := make(map[Section]*locator)
	var messages Messages
	for _, section := range Sections() {
		text := texts[section]
		if text.File == "" {
			text.File = string(section) + ".toml"
		}
		l := newLocator(text.File, text.Bytes)
		locators[section] = l
		faults := decode(l, document.sectionTarget(section))
		if section == SectionCustomers {
			hideSource(faults)
		}
		messages = append(messages, faults...)
	}
	if len(messages) > 0 {
		return nil, messages
	}
	document.FillDefaults()
	c := newChecker(document, locators)
	c.checkAll()
	if len(c.messages) > 0 {
		return nil, c.messages
	}
	return document, nil
}

// hideSource removes the quoted lines, which may hold a key where its digest should stand.
func hideSource(messages Messages) {
	for i := range messages {
		messages[i].Source = ""
	}
}

// sectionTarget returns a pointer to the part of the document that the section
// is decoded into.
func (d *Document) sectionTarget(section Section) any {
	switch section {
	case SectionPlaces:
		return &d.Places
	case SectionServices:
		return &d.Services
	case SectionRanks:
		return &d.Ranks
	case SectionRoutes:
		return &d.Routes
	case SectionCustomers:
		return &d.Customers
	case SectionClosures:
		return &d.Closures
	default:
		return &d.Stops
	}
}

func decode(l *locator, target any) Messages {
	if len(l.text) > MaxSectionBytes {
		return Messages{l.messageAtSpan(span{}, "split the places or remove unused blocks", "section is larger than 32 MiB")}
	}
	decoder := toml.NewDecoder(bytes.NewReader(l.text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeyMessages(l, unknown, target)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		row, column := malformed.Position()
		text := strings.TrimPrefix(malformed.Error(), "toml: ")
		return Messages{l.messageAtSpan(l.spanAt(row, column), decodeNote(text), text)}
	}
	return Messages{l.messageAtSpan(span{}, "", err.Error())}
}

func unknownKeyMessages(l *locator, unknown *toml.StrictMissingError, target any) Messages {
	var messages Messages
	for _, keyError := range unknown.Errors {
		row, column := keyError.Position()
		position := l.spanAt(row, column)
		key := keyError.Key()
		position.length = len(key[len(key)-1])
		text := "key \"" + strings.Join(key, ".") + "\" does not exist"
		note := "allowed here: " + strings.Join(allowedKeys(target, key), ", ")
		messages = append(messages, l.messageAtSpan(position, note, text))
	}
	return messages
}

// decodeNote returns the remedy for an error text of the TOML decoder.
func decodeNote(text string) string {
	switch {
	case strings.Contains(text, "cannot decode"):
		return "the value has the wrong type for this key; see docs/operators/document.md"
	case strings.Contains(text, "netip"):
		return "write a block such as \"203.0.113.0/24\" or \"2001:db8::/32\""
	default:
		return ""
	}
}

// spanAt returns the span of the word at a row and column, both from 1.
func (l *locator) spanAt(row, column int) span {
	offset := 0
	for line := 1; line < row; line++ {
		newline := bytes.IndexByte(l.text[offset:], '\n')
		if newline < 0 {
			break
		}
		offset += newline + 1
	}
	offset = min(offset+max(column-1, 0), len(l.text))
	return span{offset: offset, length: l.wordLength(offset)}
}

// wordLength returns the bytes of the quoted string or bare word at the offset,
// at least 1.
func (l *locator) wordLength(offset int) int {
	rest := l.text[offset:]
	if len(rest) > 0 && rest[0] == '"' {
		if closing := bytes.IndexByte(rest[1:], '"'); closing >= 0 {
			return closing + 2
		}
	}
	if end := bytes.IndexAny(rest, " \t\r\n,]}#="); end > 0 {
		return end
	}
	return 1
}
