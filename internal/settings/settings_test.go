package settings

import (
	"strings"
	"testing"
)

const validSettings = `id = "a-1"
domain = "a"
region = "north"
entry = "127.0.0.1:8080"
peer = "127.0.0.1:7080"
key = "a key of enough bytes"
`

// An error names the setting that is wrong, or the file if it is not valid TOML.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // part of the error, empty for none
	}{
		"valid":                        {validSettings, ""},
		"memory limit":                 {validSettings + "memory_limit = 96\n", ""},
		"memory limit too small":       {validSettings + "memory_limit = 1\n", "memory_limit"},
		"unknown key":                  {validSettings + "kee = 1\n", "kee"},
		"key too short":                {strings.Replace(validSettings, "a key of enough bytes", "short", 1), "key:"},
		"host name in an address":      {strings.Replace(validSettings, "127.0.0.1:7080", "host:7080", 1), "peer:"},
		"data folder without replicas": {validSettings + "data = \"d\"\n", "replica:"},
		"unknown section":              {validSettings + "[[operator]]\nteam = \"t\"\ntoken = \"token of enough bytes\"\nsections = [\"x\"]\n", "section \"x\""},
		"syntax error":                 {validSettings + "seeds = [\n", "node.toml:"},
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
