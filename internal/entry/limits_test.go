package entry_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/demo"
)

// TestInvalidRequestsAreRefused sends requests that are invalid or exceed a limit,
// and connects to the peer port without the site's key. Each must be refused with the
// expected status, and the VM must continue to answer.
func TestInvalidRequestsAreRefused(t *testing.T) {
	d, err := demo.Start(context.Background(), demo.Options{Site: "pottery", DataDir: t.TempDir(), Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	address := d.VMSettings[0].Entry
	longText := strings.Repeat("x", 300)
	largeBody := bytes.Repeat([]byte("x"), 2<<20)
	paymentsHeader := map[string]string{"Heatherwood-Service": "payments"}
	withHeader := func(name, value string) map[string]string {
		return map[string]string{"Heatherwood-Service": "payments", name: value}
	}
	tests := map[string]struct {
		method, path string
		header       map[string]string
		body         []byte
		status       int
	}{
		"no idempotency key":      {"POST", "/payments", paymentsHeader, nil, 400},
		"long idempotency key":    {"POST", "/payments", withHeader("Idempotency-Key", longText), nil, 400},
		"large once body":         {"POST", "/payments", withHeader("Idempotency-Key", "k"), largeBody, 413},
		"bad timeout":             {"GET", "/", withHeader("Heatherwood-Timeout", "soon"), nil, 400},
		"timeout too long":        {"GET", "/", withHeader("Heatherwood-Timeout", "10000h"), nil, 400},
		"unknown service":         {"GET", "/", map[string]string{"Heatherwood-Service": "nothing"}, nil, 404},
		"upgrade":                 {"GET", "/", withHeader("Upgrade", "websocket"), nil, 501},
		"large header":            {"GET", "/", withHeader("X-Large", strings.Repeat("x", 64<<10)), nil, 431},
		"look-up unknown service": {"GET", "/v1/entries?service=nothing", nil, nil, 404},
		"look-up bad client":      {"GET", "/v1/entries?service=payments&client=me", nil, nil, 400},
		"announcement no JSON":    {"PUT", "/v1/backends/s1", nil, []byte("slots=3"), 400},
		"announcement too large":  {"PUT", "/v1/backends/s1", nil, largeBody, 400},
		"announcement bad slots":  {"PUT", "/v1/backends/s1", nil, []byte(`{"address":"127.0.0.1:1","service":"payments","slots":-1,"state":"serving"}`), 422},
		"announcement bad id":     {"PUT", "/v1/backends/" + longText, nil, []byte(`{}`), 400},
		"announcement bad state":  {"PUT", "/v1/backends/s1", nil, []byte(`{"address":"127.0.0.1:1","service":"payments","slots":1,"state":"asleep"}`), 422},
		"announcement host name":  {"PUT", "/v1/backends/s1", nil, []byte(`{"address":"host:1","service":"payments","slots":1,"state":"serving"}`), 422},
		"no token":                {"GET", "/v1/status", nil, nil, 401},
		"wrong token":             {"GET", "/v1/status", map[string]string{"Authorization": "Bearer demo-token"}, nil, 401},
		"unknown section":         {"GET", "/v1/sections/x", map[string]string{"Authorization": "Bearer " + d.Tokens[0].Token}, nil, 404},
		"change without id":       {"PUT", "/v1/sections/places", map[string]string{"Authorization": "Bearer " + d.Tokens[0].Token, "If-Match": `"1"`}, nil, 400},
		"change without version":  {"PUT", "/v1/sections/places", map[string]string{"Authorization": "Bearer " + d.Tokens[0].Token, "Change-Id": "c"}, nil, 428},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(test.method, "http://"+address+test.path, bytes.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			for key, value := range test.header {
				request.Header.Set(key, value)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			io.Copy(io.Discard, response.Body)
			if response.StatusCode != test.status {
				t.Errorf("status %d, want %d", response.StatusCode, test.status)
			}
		})
	}
	t.Run("peer without the key", func(t *testing.T) { checkPeerWithoutKey(t, d.VMSettings[0].Peer) })
	response, err := http.Get("http://" + address + "/v1/entries?service=payments")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the VM no longer answers: %v", err)
	}
	response.Body.Close()
}

// checkPeerWithoutKey connects to the peer port with a handshake that does not prove
// the site's key, and checks that the VM closes the connection.
func checkPeerWithoutKey(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	conn.Write(bytes.Repeat([]byte{1}, 200))
	if _, err := io.ReadAll(conn); err != nil {
		if netError, ok := err.(net.Error); ok && netError.Timeout() {
			t.Error("the connection of a peer without the key stays open")
		}
	}
}
