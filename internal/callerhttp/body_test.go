package callerhttp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// A body that was sent in part must never be sent again without that part.
func TestBodyIsSentWholeOrNotAtAll(t *testing.T) {
	const prefix, rest = "kept bytes, ", "and the rest"
	readAll := func(t *testing.T, b *inboundBody, want string) {
		t.Helper()
		r, err := b.open()
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(r); err != nil || string(text) != want {
			t.Errorf("read %q, %v, want %q", text, err, want)
		}
	}
	t.Run("kept whole", func(t *testing.T) {
		b := &inboundBody{prefix: []byte(prefix)}
		readAll(t, b, prefix)
		readAll(t, b, prefix)
		if !b.complete() || b.used() {
			t.Error("a body that is kept counts as used")
		}
	})
	t.Run("no body", func(t *testing.T) { readAll(t, &inboundBody{}, "") })
	t.Run("read whole", func(t *testing.T) {
		b := &inboundBody{prefix: []byte(prefix), rest: strings.NewReader(rest)}
		readAll(t, b, prefix+rest)
		if _, err := b.open(); !errors.Is(err, errBodyUsed) || !b.used() {
			t.Errorf("opened again: %v, want %v", err, errBodyUsed)
		}
	})
	t.Run("only kept bytes read", func(t *testing.T) {
		b := &inboundBody{prefix: []byte(prefix), rest: strings.NewReader(rest)}
		first, err := b.open()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(first, make([]byte, len(prefix))); err != nil {
			t.Fatal(err)
		}
		readAll(t, b, prefix+rest)
		if _, err := first.Read(make([]byte, 1)); !errors.Is(err, errBodyTaken) {
			t.Errorf("the earlier send reads on: %v, want %v", err, errBodyTaken)
		}
	})
	t.Run("begun, then broken", func(t *testing.T) {
		b := &inboundBody{prefix: []byte(prefix), rest: iotest.OneByteReader(strings.NewReader(rest))}
		first, err := b.open()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(first, make([]byte, len(prefix)+1)); err != nil {
			t.Fatal(err)
		}
		if _, err := b.open(); !errors.Is(err, errBodyUsed) {
			t.Errorf("opened after one byte was read: %v, want %v", err, errBodyUsed)
		}
	})
}
