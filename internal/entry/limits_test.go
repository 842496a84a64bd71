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

// TestOutsidersAreBounded sends what no well-behaved peer would; each must get a
// clear refusal, and the VM must go on answering.
func TestOutsidersAreBounded(t *testing.T) {
	d, err := demo.Start(context.Background(), demo.Options{Site: "pottery", DataDir: t.TempDir(), Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	address := d.VMSettings[0].Entry
	long := strings.Repeat("x", 300)
	huge := bytes.Repeat([]byte("x"), 2<<20)
	service := map[string]string{"Heatherwood-Service": "payments"}
	with := func(name, value string) map[string]string {
		return map[string]string{"Heatherwood-Service": "payments", name: value}
	}
	tests := map[string]struct {
		method, path string
		header       map[string]string
		body         []byte
		status       int
	}{
		"no key":                 {"POST", "/payments", service, nil, 400},
		"long key":               {"POST", "/payments", with("Idempotency-Key", long), nil, 400},
		"large once body":        {"POST", "/payments", with("Idempotency-Key", "k"), huge, 413},
		"bad timeout":            {"GET", "/", with("Heatherwood-Timeout", "soon"), nil, 400},
		"endless timeout":        {"GET", "/", with("Heatherwood-Timeout", "10000h"), nil, 400},
		"unknown service":        {"GET", "/", map[string]string{"Heatherwood-Service": "nothing"}, nil, 404},
		"upgrade":                {"GET", "/", with("Upgrade", "websocket"), nil, 501},
		"large header":           {"GET", "/", with("X-Large", strings.Repeat("x", 64<<10)), nil, 431},
		"look-up of nothing":     {"GET", "/v1/entries?service=nothing", nil, nil, 404},
		"look-up for no address": {"GET", "/v1/entries?service=payments&client=me", nil, nil, 400},
		"announcement no JSON":   {"PUT", "/v1/backends/s1", nil, []byte("slots=3"), 400},
		"announcement too large": {"PUT", "/v1/backends/s1", nil, huge, 400},
		"announcement bad slots": {"PUT", "/v1/backends/s1", nil, []byte(`{"address":"127.0.0.1:1","service":"payments","slots":-1,"state":"serving"}`), 422},
		"announcement bad id":    {"PUT", "/v1/backends/" + long, nil, []byte(`{}`), 400},
		"announcement bad state": {"PUT", "/v1/backends/s1", nil, []byte(`{"address":"127.0.0.1:1","service":"payments","slots":1,"state":"asleep"}`), 422},
		"announcement by name":   {"PUT", "/v1/backends/s1", nil, []byte(`{"address":"host:1","service":"payments","slots":1,"state":"serving"}`), 422},
		"no token":               {"GET", "/v1/status", nil, nil, 401},
		"wrong token":            {"GET", "/v1/status", map[string]string{"Authorization": "Bearer demo-token"}, nil, 401},
		"unknown section":        {"GET", "/v1/sections/x", map[string]string{"Authorization": "Bearer " + d.Tokens[0].Token}, nil, 404},
		"change without id":      {"PUT", "/v1/sections/places", map[string]string{"Authorization": "Bearer " + d.Tokens[0].Token, "If-Match": `"1"`}, nil, 400},
		"change without version": {"PUT", "/v1/sections/places", map[string]string{"Authorization": "Bearer " + d.Tokens[0].Token, "Change-Id": "c"}, nil, 428},
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
	t.Run("peer without the key", func(t *testing.T) { wrongPeer(t, d.VMSettings[0].Peer) })
	response, err := http.Get("http://" + address + "/v1/entries?service=payments")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the VM does not answer any more: %v", err)
	}
	response.Body.Close()
}

// wrongPeer speaks to the peer port without the site's key.
func wrongPeer(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	conn.Write(bytes.Repeat([]byte{1}, 200))
	if _, err := io.ReadAll(conn); err != nil {
		if timeout, is := err.(net.Error); is && timeout.Timeout() {
			t.Error("the connection of a peer without the key stays open")
		}
	}
}
