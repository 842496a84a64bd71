package document

import (
	"reflect"
	"sort"
	"strings"
)

// allowedKeys lists the keys that may stand where the unknown key was found.
func allowedKeys(target any, key []string) []string {
	kind := reflect.TypeOf(target).Elem()
	for _, part := range key[:len(key)-1] {
		next, found := fieldKind(kind, part)
		if !found {
			break
		}
		kind = next
	}
	var names []string
	for i := range kind.NumField() {
		names = append(names, tomlName(kind.Field(i)))
	}
	sort.Strings(names)
	return names
}

func fieldKind(kind reflect.Type, name string) (reflect.Type, bool) {
	for i := range kind.NumField() {
		field := kind.Field(i)
		if tomlName(field) != name {
			continue
		}
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		return inner, inner.Kind() == reflect.Struct
	}
	return nil, false
}

func tomlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	return name
}
