package document

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys in ascending order, so that messages are the same
// on each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
