package document

import (
	"strings"
	"testing"
)

const (
	validPlaces = `[[region]]
name = "north"
[[domain]]
name = "north-a"
region = "north"
[[place]]
name = "town"
region = "north"
oneway = "8ms"
blocks = ["10.0.0.0/8"]
`
	validRanks = `[[rank]]
name = "browse"
worth = 1.0
floor = "20%"
`
	validServices = `[[service]]
name = "shop"
hosts = ["shop.example"]
[[service.rule]]
method = "*"
path = "/"
rank = "browse"
`
)

// parseWith parses a valid document in which the text replaces one section.
func parseWith(section Section, text string) Messages {
	texts := Texts{
		SectionPlaces:   {Bytes: []byte(validPlaces)},
		SectionRanks:    {Bytes: []byte(validRanks)},
		SectionServices: {Bytes: []byte(validServices)},
	}
	texts[section] = Text{Bytes: []byte(text)}
	_, messages := Parse(texts)
	return messages
}

func TestMessages(t *testing.T) {
	tests := map[string]struct {
		section Section
		text    string
		want    string
	}{
		"share above 100%": {
			section: SectionRanks,
			text:    "[[rank]]\nname = \"browse\"\nworth = 1.0\nfloor = \"120%\"\n",
			want:    "ranks.toml:4:9: error: share \"120%\" is outside 0% to 100%\n    4 | floor = \"120%\"\n      |         ~~~~~~\n",
		},
		"floors above 100%": {
			section: SectionRanks,
			text:    "[[rank]]\nname = \"browse\"\nworth = 1.0\nfloor = \"60%\"\n[[rank]]\nname = \"pay\"\nworth = 2.0\nfloor = \"50%\"\n",
			want:    "ranks.toml:8:9: error: floors add up to 110%\n    8 | floor = \"50%\"\n      |         ~~~~~\n  note: lower the floors until they add up to 100% or less\n",
		},
		"unknown key": {
			section: SectionRanks,
			text:    "[[rank]]\nname = \"browse\"\nworht = 1.0\n",
			want:    "ranks.toml:3:1: error: key \"rank.worht\" does not exist\n    3 | worht = 1.0\n      | ~~~~~\n  note: allowed here: floor, name, target, worth\n",
		},
		"unknown rank in a rule": {
			section: SectionServices,
			text:    strings.Replace(validServices, `rank = "browse"`, `rank = "brows"`, 1),
			want:    "services.toml:7:8: error: rank \"brows\" does not exist\n    7 | rank = \"brows\"\n      |        ~~~~~~~\n  note: known rank names: browse\n",
		},
		"domain in an unknown region": {
			section: SectionPlaces,
			text:    "[[region]]\nname = \"north\"\n[[region]]\nname = \"south\"\n[[domain]]\nname = \"a\"\nregion = \"west\"\n",
			want:    "places.toml:7:10: error: region \"west\" does not exist\n    7 | region = \"west\"\n      |          ~~~~~~\n  note: known region names: north, south\n",
		},
		"stop of an unknown domain": {
			section: SectionStops,
			text:    "[[stop]]\nname = \"s\"\nkind = \"domain\"\nwhat = \"north-b\"\nbegin = 2026-01-01T00:00:00Z\nend = 2026-01-01T01:00:00Z\n",
			want:    "stops.toml:4:8: error: domain \"north-b\" does not exist\n    4 | what = \"north-b\"\n      |        ~~~~~~~~~\n  note: known domain names: north-a\n",
		},
		"syntax": {
			section: SectionStops,
			text:    "[[stop]]\nname = \n",
			want:    "stops.toml:2:",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := parseWith(test.section, test.text).Error()
			if !strings.Contains(got, test.want) {
				t.Errorf("got:\n%s\nwant:\n%s", got, test.want)
			}
		})
	}
}

func TestValidDocument(t *testing.T) {
	if messages := parseWith(SectionStops, ""); len(messages) > 0 {
		t.Fatal(messages.Error())
	}
}

func TestParseReturnsAllErrors(t *testing.T) {
	text := "[[rank]]\nname = \"B\"\nworth = 0.0\n[[rank]]\nname = \"C\"\nworth = -1.0\n"
	if got := len(parseWith(SectionRanks, text)); got < 4 {
		t.Errorf("got %d messages, want at least 4", got)
	}
}

func TestServiceMatchPrefersLongestPrefix(t *testing.T) {
	service := Service{Rules: []Rule{
		{Method: "*", Path: "/", Rank: "browse"},
		{Method: "POST", Path: "/pay", Rank: "pay"},
		{Method: "*", Path: "/pay", Rank: "view"},
	}}
	tests := map[string]struct{ method, path, want string }{
		"root":           {"GET", "/", "browse"},
		"exact method":   {"POST", "/pay", "pay"},
		"any method":     {"GET", "/pay/1", "view"},
		"whole elements": {"POST", "/payments", "browse"},
		"deeper path":    {"POST", "/pay/1/2", "pay"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rule, _ := service.Match(test.method, test.path)
			if rule.Rank != test.want {
				t.Errorf("got rank %q, want %q", rule.Rank, test.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validPlaces), []byte(validRanks), []byte(validServices))
	f.Fuzz(func(t *testing.T, places, ranks, services []byte) {
		_, messages := Parse(Texts{
			SectionPlaces:   {Bytes: places},
			SectionRanks:    {Bytes: ranks},
			SectionServices: {Bytes: services},
		})
		_ = messages.Error()
	})
}
