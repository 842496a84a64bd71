package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// startEntries starts a fake entry VM for each handler and returns a client that
// looks up all of them, in this order.
func startEntries(t *testing.T, handlers ...http.HandlerFunc) *Client {
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

// answerWith counts calls and answers with the status and the header that says
// whether the request ran.
func answerWith(status int, run string, calls *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if run != "" {
			w.Header().Set(headerRun, run)
		}
		w.WriteHeader(status)
	}
}

// abortConnection counts calls and breaks the connection without an answer.
func abortConnection(calls *atomic.Int64) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func TestResendsOnlyWhenSafe(t *testing.T) {
	refusal := func(status int, run string) func(*atomic.Int64) http.HandlerFunc {
		return func(n *atomic.Int64) http.HandlerFunc { return answerWith(status, run, n) }
	}
	tests := map[string]struct {
		first       func(*atomic.Int64) http.HandlerFunc // handler of the first entry
		key         string
		method      string
		firstCalls  int64 // calls of the first entry, at most; net/http itself sends again what may run twice
		secondCalls int64 // calls of the second entry
		err         error
	}{
		"refused before it ran":             {first: refusal(503, "no"), method: "POST", firstCalls: 1, secondCalls: 1},
		"outcome unknown":                   {first: refusal(502, "unknown"), method: "POST", key: "k", firstCalls: 1, err: ErrUnknown},
		"connection lost, POST with a key":  {first: abortConnection, method: "POST", key: "k", firstCalls: 2, secondCalls: 1},
		"connection lost, POST without key": {first: abortConnection, method: "POST", firstCalls: 1, err: ErrUnknown},
		"connection lost, GET":              {first: abortConnection, method: "GET", firstCalls: 2, secondCalls: 1},
		"client error":                      {first: refusal(400, "no"), method: "POST", firstCalls: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var firstCalls, secondCalls atomic.Int64
			client := startEntries(t, test.first(&firstCalls), answerWith(200, "", &secondCalls))
			response, err := client.Do(context.Background(), Request{Method: test.method, Path: "/p", Key: test.key})
			if response != nil {
				response.Body.Close()
			}
			if !errors.Is(err, test.err) || secondCalls.Load() != test.secondCalls {
				t.Errorf("error %v, %d calls of the second entry; want %v and %d", err, secondCalls.Load(), test.err, test.secondCalls)
			}
			if n := firstCalls.Load(); n < 1 || n > test.firstCalls {
				t.Errorf("%d calls of the first entry, want 1 to %d", n, test.firstCalls)
			}
		})
	}
}
