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
func answerWith(status int, run string, calls *int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		*calls++
		if run != "" {
			w.Header().Set(headerRun, run)
		}
		w.WriteHeader(status)
	}
}

// abortConnection counts calls and breaks the connection without an answer.
func abortConnection(calls *int) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		*calls++
		panic(http.ErrAbortHandler)
	}
}

func TestResendsOnlyWhenSafe(t *testing.T) {
	tests := map[string]struct {
		first       func(*int) http.HandlerFunc // handler of the first entry
		key         string
		method      string
		secondCalls int // calls of the second entry
		err         error
	}{
		"refused before it ran":             {first: func(n *int) http.HandlerFunc { return answerWith(503, "no", n) }, method: "POST", secondCalls: 1},
		"outcome unknown":                   {first: func(n *int) http.HandlerFunc { return answerWith(502, "unknown", n) }, method: "POST", key: "k", err: ErrUnknown},
		"connection lost, POST with a key":  {first: abortConnection, method: "POST", key: "k", secondCalls: 1},
		"connection lost, POST without key": {first: abortConnection, method: "POST", err: ErrUnknown},
		"connection lost, GET":              {first: abortConnection, method: "GET", secondCalls: 1},
		"client error":                      {first: func(n *int) http.HandlerFunc { return answerWith(400, "no", n) }, method: "POST"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var firstCalls, secondCalls int
			client := startEntries(t, test.first(&firstCalls), answerWith(200, "", &secondCalls))
			response, err := client.Do(context.Background(), Request{Method: test.method, Path: "/p", Key: test.key})
			if response != nil {
				response.Body.Close()
			}
			if !errors.Is(err, test.err) || secondCalls != test.secondCalls {
				t.Errorf("error %v, %d calls of the second entry; want %v and %d", err, secondCalls, test.err, test.secondCalls)
			}
		})
	}
}
