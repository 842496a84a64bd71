package callerhttp

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Callers that a VM refuses while it starts must not all return at once: they are told
// to retry once it should be ready, spread over half a second.
func TestStartupRetriesAreSpread(t *testing.T) {
	const callers, parts = 5000, 10
	var retries [parts]int
	for i := range callers {
		retryAfter := startupRetryAfter(strconv.Itoa(i))
		if retryAfter < startupRetryDelay || retryAfter >= startupRetryDelay*3/2 {
			t.Fatalf("caller %d retries after %v", i, retryAfter)
		}
		retries[(retryAfter-startupRetryDelay)*parts/(startupRetryDelay/2)]++
	}
	for i, n := range retries {
		if n > callers/parts*13/10 {
			t.Errorf("%d of %d callers retry in part %d of %v, want about %d", n, callers, i, time.Duration(startupRetryDelay/2), callers/parts)
		}
	}
}

// A path with an escaped slash was taken for one with more segments, and an unsafe request for a safe
// one, which ran twice.
func TestEscapedSlashEndsNoPrefix(t *testing.T) {
	to := []document.Target{{Service: "orders", Weight: 1}}
	parsed := &document.Document{
		Services: document.Services{Services: []document.Service{{Name: "orders"}}},
		Routes: document.Routes{Routes: []document.Route{
			{Name: "unsafe", Host: "shop.example", Path: "/orders/", Kind: document.KindAttempt, To: to},
			{Name: "safe", Host: "shop.example", Path: "/orders/status/", Kind: document.KindRepeat, To: to},
			{Name: "accent", Host: "shop.example", Path: "/caf\u00e9/", Kind: document.KindRepeat, To: to},
		}},
	}
	parsed.FillDefaults()
	view := &reducer.View{Ready: true, Document: parsed}
	relay := NewRelay(startControlVM(t), DefaultDialect())
	tests := map[string]string{ // route of a target, or empty
		"/orders/1":                              "unsafe",
		"/orders/status/1":                       "safe",
		"/orders/status%2F1":                     "unsafe",
		"/orders/status%2f1":                     "unsafe",
		"/orders/status%2F1/2":                   "unsafe",
		"/orders/status/a%2Fb":                   "safe",
		"/orders/stat%75s/1":                     "safe",
		"/orders/status%252F1":                   "unsafe",
		"/orders%2F1":                            "",
		"%2Forders/1":                            "",
		"/caf%C3%A9/1":                           "accent",
		"/orders/status?x=%2F":                   "unsafe",
		"http://shop.example/orders/status%2F1":  "unsafe",
		"http://shop.example/orders/status/a%2F": "safe",
	}
	for target, want := range tests {
		t.Run(target, func(t *testing.T) {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + target + " HTTP/1.1\r\nHost: shop.example\r\n\r\n")))
			if err != nil {
				if want == "" {
					return // refused by net/http
				}
				t.Fatal(err)
			}
			in := &inbound{relay: relay, writer: httptest.NewRecorder(), request: request, view: view}
			in.matchRequest()
			got := ""
			if in.route != nil {
				got = in.route.Name
			}
			if got != want {
				t.Errorf("route %q, want %q", got, want)
			}
			if in.route != nil {
				if again := view.Document.Routes.Match("shop.example", in.newRelayRequest().Path); again.Name != want {
					t.Errorf("a later document would route it to %q, want %q", again.Name, want)
				}
			}
		})
	}
}
