package reducer

import (
	"slices"
	"testing"
)

// Callers are told entries without a way to the servers only while the others would be
// crowded.
func TestEntriesToTell(t *testing.T) {
	sound := func(address string) readyEntry { return readyEntry{address: address} }
	cut := func(address string) readyEntry { return readyEntry{address: address, cut: true} }
	tests := map[string]struct {
		ready []readyEntry
		want  []string
	}{
		"none":                    {},
		"none is cut":             {ready: []readyEntry{sound("a"), sound("b")}, want: []string{"a", "b"}},
		"one of three is cut":     {ready: []readyEntry{sound("a"), cut("b"), sound("c")}, want: []string{"a", "c"}},
		"two of three are cut":    {ready: []readyEntry{sound("a"), cut("b"), cut("c")}, want: []string{"a", "b", "c"}},
		"one of two is cut":       {ready: []readyEntry{cut("a"), sound("b")}, want: []string{"b", "a"}},
		"half of four are cut":    {ready: []readyEntry{cut("a"), sound("b"), cut("c"), sound("d")}, want: []string{"b", "d"}},
		"most of five are cut":    {ready: []readyEntry{cut("a"), sound("b"), cut("c"), sound("d"), cut("e")}, want: []string{"b", "d", "a", "c", "e"}},
		"all are cut":             {ready: []readyEntry{cut("a"), cut("b")}, want: []string{"a", "b"}},
		"the only one, and sound": {ready: []readyEntry{sound("a")}, want: []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := entriesToTell(test.ready); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
