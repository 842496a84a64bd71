package document

import (
	"strings"
	"testing"
	"time"
)

const routesText = `
[limits]
body = 1000

[[route]]
name = "shop"
host = "shop.example"
path = "/"
kind = "repeat"
rank = "browsing"
[[route.to]]
service = "web"
weight = 1.0

[[route]]
name = "orders"
host = "shop.example"
path = "/orders/"
kind = "attempt"
rank = "paying"
timeout = "2s"
target = "300ms"
affinity = true
[[route.to]]
service = "web"
weight = 90.0
[[route.to]]
service = "spare"
weight = 10.0
`

// routeTexts returns a valid document with the given routes section.
func routeTexts(routes string) Texts {
	return Texts{
		SectionPlaces:   {Bytes: []byte("[[region]]\nname = \"north\"\n[[domain]]\nname = \"north-a\"\nregion = \"north\"\n")},
		SectionServices: {Bytes: []byte("[[service]]\nname = \"web\"\nplacing = \"entry\"\n[[service]]\nname = \"spare\"\nplacing = \"entry\"\n")},
		SectionRanks:    {Bytes: []byte("[[rank]]\nname = \"paying\"\nworth = 10.0\n[[rank]]\nname = \"browsing\"\nworth = 1.0\n")},
		SectionRoutes:   {Bytes: []byte(routes)},
	}
}

func TestRouteMatchPrefersLongestPath(t *testing.T) {
	d, messages := Parse(routeTexts(routesText))
	if err := messages.Err(); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ host, path, want string }{
		"short":        {"shop.example", "/page", "shop"},
		"long":         {"shop.example", "/orders/7", "orders"},
		"host in caps": {"SHOP.example:8080", "/orders/7", "orders"},
		"not a prefix": {"shop.example", "/orders", "shop"},
		"other host":   {"other.example", "/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route := d.Routes.Match(test.host, test.path); route != nil {
				got = route.Name
			}
			if got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
	if orders := d.Routes.Match("shop.example", "/orders/1"); orders.Timeout.Std() != 2*time.Second || orders.Tries != defaultTries {
		t.Errorf("route %+v", orders)
	}
}

func TestRoutesAreChecked(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"unknown service":    {`service = "spare"`, `service = "none"`, `service "none" does not exist`},
		"negative weight":    {"weight = 10.0", "weight = -1.0", "weight -1"},
		"no weight at all":   {"weight = 1.0", "weight = 0.0", "sends requests nowhere"},
		"unknown kind":       {`kind = "repeat"`, `kind = "sometimes"`, `kind "sometimes" does not exist`},
		"timeout too long":   {`timeout = "2s"`, `timeout = "11m"`, "is too long"},
		"relative path":      {`path = "/orders/"`, `path = "orders/"`, "is not absolute"},
		"same host and path": {`path = "/orders/"`, `path = "/"`, "already has this host and path"},
		"unknown rank":       {`rank = "paying"`, `rank = "some"`, `rank "some" does not exist`},
		"unknown table":      {"[limits]", "[bounds]", "allowed here: limits, route\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, messages := Parse(routeTexts(strings.Replace(routesText, test.old, test.new, 1)))
			if err := messages.Err(); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("messages %v, want %q", err, test.want)
			}
		})
	}
}

func TestZeroTargetIsRejected(t *testing.T) {
	texts := routeTexts(routesText)
	texts[SectionServices] = Text{Bytes: []byte("[[service]]\nname = \"web\"\nplacing = \"entry\"\ntarget = \"0s\"\n[[service]]\nname = \"spare\"\nplacing = \"entry\"\n")}
	_, messages := Parse(texts)
	if err := messages.Err(); err == nil || !strings.Contains(err.Error(), "is not above 0") {
		t.Errorf("messages %v, want one on the target", err)
	}
}
