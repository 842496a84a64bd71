package delta

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/codec"
)

// Errors of Apply.
var (
	ErrMalformed = errors.New("the delta is malformed")
	ErrWrongBase = errors.New("the delta is for another text, or damaged")
)

// minCopyBytes is the shortest run of lines that is copied from the old text. A shorter
// one compresses better as an insertion.
const minCopyBytes = 48

// difference is what an encoded delta holds.
type difference struct {
	Length int    `msgpack:"length"` // of the new text, in bytes
	Digest uint64 `msgpack:"digest"` // of the new text
	Edits  []edit `msgpack:"edits"`
}

// edit copies a part of the old text and then inserts text.
type edit struct {
	Offset int    `msgpack:"o"`
	Length int    `msgpack:"l"`
	Insert []byte `msgpack:"i"`
}

// Encode returns the difference between two texts, for Apply.
func Encode(from, to []byte) ([]byte, error) {
	data, err := codec.Marshal(difference{Length: len(to), Digest: xxhash.Sum64(to), Edits: compare(from, to)})
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("create compressor: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress delta: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress delta: %w", err)
	}
	return packed.Bytes(), nil
}

// Apply returns the new text of a difference from the old text; limit bounds its length
// in bytes. The error is ErrMalformed or ErrWrongBase.
func Apply(from, encoded []byte, limit int) ([]byte, error) {
	// An edit takes fewer bytes than the shortest copy.
	const headerBytes = 64
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), 2*int64(limit)+headerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var d difference
	if err := codec.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if d.Length < 0 || d.Length > limit {
		return nil, fmt.Errorf("%w: it makes %d bytes", ErrMalformed, d.Length)
	}
	to := make([]byte, 0, d.Length)
	for _, e := range d.Edits {
		if e.Offset < 0 || e.Length < 0 || e.Offset > len(from) || e.Length > len(from)-e.Offset {
			return nil, ErrWrongBase
		}
		if len(to)+e.Length+len(e.Insert) > d.Length {
			return nil, ErrMalformed
		}
		to = append(to, from[e.Offset:e.Offset+e.Length]...)
		to = append(to, e.Insert...)
	}
	if len(to) != d.Length || xxhash.Sum64(to) != d.Digest {
		return nil, ErrWrongBase
	}
	return to, nil
}

// compare returns the edits that turn one text into the other. It goes through the new
// text once and follows the old one beside it: a line that differs counts as replaced,
// and after an insertion or a deletion the next line that is unique in the old text
// tells where to go on.
func compare(from, to []byte) []edit {
	unique := uniqueLines(from)
	var edits []edit
	cursor, insertedFrom := 0, 0
	for at := 0; at < len(to); {
		line := firstLine(to[at:])
		length := commonLines(from[cursor:], to[at:])
		if length < minCopyBytes {
			if offset, found := unique[xxhash.Sum64(line)]; found && offset != notUnique {
				if other := commonLines(from[offset:], to[at:]); other >= minCopyBytes {
					cursor, length = offset, other
				}
			}
		}
		if length < minCopyBytes {
			at += len(line)
			cursor += len(firstLine(from[cursor:]))
			continue
		}
		edits = appendInsert(edits, to[insertedFrom:at])
		edits = append(edits, edit{Offset: cursor, Length: length})
		at += length
		cursor += length
		insertedFrom = at
	}
	return appendInsert(edits, to[insertedFrom:])
}

// appendInsert adds an insertion after the last copy.
func appendInsert(edits []edit, text []byte) []edit {
	if len(text) == 0 {
		return edits
	}
	if len(edits) == 0 {
		return append(edits, edit{Insert: text})
	}
	edits[len(edits)-1].Insert = text
	return edits
}

const notUnique = -1 // offset of a line that stands in the text more than once

// uniqueLines returns the offset of each line by its hash.
func uniqueLines(text []byte) map[uint64]int {
	offsets := make(map[uint64]int)
	for at := 0; at < len(text); {
		line := firstLine(text[at:])
		hash := xxhash.Sum64(line)
		if _, found := offsets[hash]; found {
			offsets[hash] = notUnique
		} else {
			offsets[hash] = at
		}
		at += len(line)
	}
	return offsets
}

// firstLine returns the text up to the end of its first line.
func firstLine(text []byte) []byte {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return text[:end+1]
	}
	return text
}

// commonLines returns the length of the whole lines with which both texts begin.
func commonLines(a, b []byte) int {
	n := min(len(a), len(b))
	common := 0
	for common < n && a[common] == b[common] {
		common++
	}
	if common == len(a) && common == len(b) {
		return common
	}
	return bytes.LastIndexByte(a[:common], '\n') + 1
}
