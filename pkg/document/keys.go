package document

import (
	"reflect"
	"sort"
	"strings"
)

// allowedKeys lists the keys that the table of an unknown key allows, sorted.
func allowedKeys(target any, key []string) []string {
	table := reflect.TypeOf(target).Elem()
	for _, part := range key[:len(key)-1] {
		nested, found := nestedType(table, part)
		if !found {
			break
		}
		table = nested
	}
	var names []string
	for i := range table.NumField() {
		if name := tomlKey(table.Field(i)); name != "" && name != "-" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// nestedType returns the struct type of the table under the key, and false when
// the key holds no table.
func nestedType(table reflect.Type, name string) (reflect.Type, bool) {
	for i := range table.NumField() {
		field := table.Field(i)
		if tomlKey(field) != name {
			continue
		}
		nested := field.Type
		if nested.Kind() == reflect.Slice {
			nested = nested.Elem()
		}
		return nested, nested.Kind() == reflect.Struct
	}
	return nil, false
}

func tomlKey(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	return name
}
