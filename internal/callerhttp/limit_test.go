package callerhttp

import (
	"net/http"
	"strings"
	"testing"

	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/routing"
)

func TestLimitOfAnAnswer(t *testing.T) {
	tests := map[string]struct {
		text string
		want routing.Limit
		bad  string
	}{
		"none":         {},
		"whole":        {text: "12", want: routing.Limit{Named: true, PerSecond: 12}},
		"fraction":     {text: " 2.4 ", want: routing.Limit{Named: true, PerSecond: 2.4}},
		"zero":         {text: "0", want: routing.Limit{Named: true}},
		"negative":     {text: "-1", bad: "-1"},
		"no number":    {text: "many", bad: "many"},
		"not a number": {text: "NaN", bad: "NaN"},
		"infinite":     {text: "+Inf", bad: "+Inf"},
		"absurd":       {text: "1e9", bad: "1e9"},
		"long":         {text: strings.Repeat("9", 400), bad: strings.Repeat("9", maxLoggedLimitBytes)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{Header: http.Header{}}
			response.Header.Set(problem.HeaderLimit, test.text)
			n := DefaultDialect().notice(response)
			if n.Limit != test.want || n.BadLimit != test.bad {
				t.Errorf("limit %+v, invalid %q, want %+v, %q", n.Limit, n.BadLimit, test.want, test.bad)
			}
		})
	}
}

func FuzzParseLimit(f *testing.F) {
	for _, text := range []string{"2.4", "0", "-0", "1e6", "0x1p4", "NaN", "-Inf", "1_0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		limit, err := parseLimit(text)
		if err == nil && (!limit.Named || !(limit.PerSecond >= 0 && limit.PerSecond <= maxLimitPerSecond)) {
			t.Errorf("limit %+v of %q", limit, text)
		}
	})
}
