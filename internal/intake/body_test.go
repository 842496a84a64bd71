package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

func TestReadBody(t *testing.T) {
	const head = "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n"
	tests := map[string]struct {
		request string
		others  int64 // bytes that a protected share holds
		limit   int64
		length  int
		err     error
		fails   bool
	}{
		"whole":     {request: head + strings.Repeat("x", 10_000), limit: 20_000, length: 10_000},
		"stalled":   {request: head + "x", limit: 20_000, err: ErrLate, fails: true},
		"too large": {request: head + strings.Repeat("x", 10_000), limit: 9_999, err: ErrTooLarge, fails: true},
		"no room":   {request: head + strings.Repeat("x", 10_000), others: 30_000, limit: 20_000, err: ErrFull, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := NewBudget(32_000, 0)
			if err := b.Open(nil).Grow(test.others); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			length := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, share, err := b.ReadBody(w, r, clock.System{}, test.limit)
				share.Release()
				length = len(body)
				ended <- err
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, test.request); err != nil {
				t.Fatal(err)
			}
			select {
			case err := <-ended:
				if (err != nil) != test.fails || !errors.Is(err, test.err) || length != test.length {
					t.Errorf("%d bytes, error %v; want %d, %v", length, err, test.length, test.err)
				}
			case <-time.After(3 * stallTimeout):
				t.Error("the body is still read")
			}
			if b.Held() != test.others {
				t.Errorf("%d bytes are held, want %d", b.Held(), test.others)
			}
		})
	}
}
