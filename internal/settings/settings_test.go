package settings

import (
	"strings"
	"testing"
)

const good = `id = "a-1"
domain = "a"
region = "north"
entry = "127.0.0.1:8080"
peer = "127.0.0.1:7080"
key = "a key of enough bytes"
`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // part of the error, empty for none
	}{
		"good":              {good, ""},
		"memory limit":      {good + "memory_limit = 96\n", ""},
		"small memory":      {good + "memory_limit = 1\n", "memory_limit"},
		"unknown key":       {good + "kee = 1\n", "kee"},
		"no key":            {strings.Replace(good, "a key of enough bytes", "short", 1), "key:"},
		"name for address":  {strings.Replace(good, "127.0.0.1:7080", "host:7080", 1), "peer:"},
		"data, no replicas": {good + "data = \"d\"\n", "replica:"},
		"unknown section":   {good + "[[operator]]\nteam = \"t\"\ntoken = \"token of enough bytes\"\nsections = [\"x\"]\n", "section \"x\""},
		"syntax":            {good + "seeds = [\n", "node.toml:"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("node.toml", []byte(test.text))
			switch {
			case test.want == "" && err != nil:
				t.Error(err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}
