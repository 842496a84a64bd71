package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// entries starts fake entry VMs that answer requests with the handlers in turn.
func entries(t *testing.T, handlers ...http.HandlerFunc) *Client {
	t.Helper()
	var addresses []string
	client := &Client{Service: "pay"}
	for _, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/entries" {
				json.NewEncoder(w).Encode(Answer{Entries: addresses, TTL: "10s"})
				return
			}
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	client.Seeds = addresses
	return client
}

func answer(status int, run string, calls *int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		*calls++
		if run != "" {
			w.Header().Set(headerRun, run)
		}
		w.WriteHeader(status)
	}
}

func abort(calls *int) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		*calls++
		panic(http.ErrAbortHandler)
	}
}

func TestResends(t *testing.T) {
	tests := map[string]struct {
		first  func(*int) http.HandlerFunc
		key    string
		method string
		second int // calls of the second entry
		err    error
	}{
		"not run goes on":          {first: func(n *int) http.HandlerFunc { return answer(503, "no", n) }, method: "POST", second: 1},
		"unknown stays":            {first: func(n *int) http.HandlerFunc { return answer(502, "unknown", n) }, method: "POST", key: "k", err: ErrUnknown},
		"lost with a key goes on":  {first: abort, method: "POST", key: "k", second: 1},
		"lost without a key stays": {first: abort, method: "POST", err: ErrUnknown},
		"lost read goes on":        {first: abort, method: "GET", second: 1},
		"client fault stays":       {first: func(n *int) http.HandlerFunc { return answer(400, "no", n) }, method: "POST"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var first, second int
			client := entries(t, test.first(&first), answer(200, "", &second))
			response, err := client.Do(context.Background(), Request{Method: test.method, Path: "/p", Key: test.key})
			if response != nil {
				response.Body.Close()
			}
			if !errors.Is(err, test.err) || second != test.second {
				t.Errorf("error %v, %d calls of the second entry; want %v and %d", err, second, test.err, test.second)
			}
		})
	}
}
