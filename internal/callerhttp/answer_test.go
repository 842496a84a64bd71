package callerhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/standin"
)

var errAny = errors.New("any error")

const partInterval = 10 * time.Millisecond

// startRawServer starts a server that answers each request by the parts, and keeps the connection.
func startRawServer(t *testing.T, parts ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go standin.ServeRaw(listener, func(conn *net.TCPConn, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		for _, part := range parts {
			io.WriteString(conn, part)
			time.Sleep(partInterval)
		}
		return true
	})
	return listener.Addr().String()
}

// A health check that is no whole answer by the grammar of HTTP/1.1 was believed.
func TestHealthCheckThatIsNoHTTPSaysNothing(t *testing.T) {
	const fields = "Instance-Id: s1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		answer string
		want   error // nil for one that is believed
	}{
		"good":                  {answer: "HTTP/1.1 200 OK\r\n" + fields},
		"status 000":            {answer: "HTTP/1.1 000 Odd\r\n" + fields, want: errBadStatus},
		"blank in a name":       {answer: "HTTP/1.1 200 OK\r\nOdd Name: x\r\n" + fields, want: errBadFieldName},
		"trailer":               {answer: "HTTP/1.1 200 OK\r\nInstance-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOdd Name: x\r\n\r\n", want: errBadFieldName},
		"interim answer":        {answer: "HTTP/1.1 103 Odd\r\nOdd Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields, want: errBadFieldName},
		"body that is no chunk": {answer: "HTTP/1.1 200 OK\r\nInstance-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokmore", want: errAny},
		"endless interim answers": {
			answer: strings.Repeat("HTTP/1.1 103 Odd\r\nOdd: "+strings.Repeat("x", 1000)+"\r\n\r\n", 70) + "HTTP/1.1 200 OK\r\n" + fields, want: errEndlessHead,
		},
	}
	dialect := DefaultDialect()
	dialect.ParseHealth = func(response *http.Response) (string, time.Duration, error) {
		return response.Header.Get("Instance-Id"), 0, nil
	}
	relay := NewRelay(startControlVM(t), dialect)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := relay.checkHealth(reducer.ServerQuestion{Address: startRawServer(t, test.answer), Server: "s1", Path: "/health"})
			if err == nil != (test.want == nil) || test.want != errAny && !errors.Is(err, test.want) || (got.id == "s1") != (test.want == nil) {
				t.Errorf("%+v, %v; want %v", got, err, test.want)
			}
		})
	}
}

// lateTransport returns answers, and the ends of bodies, some time after the transport has offered their
// connection for the next request.
type lateTransport struct{ http.RoundTripper }

const lateness = 5 * partInterval

// RoundTrip implements http.RoundTripper.
func (t lateTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err == nil && response.ContentLength == 0 {
		time.Sleep(lateness)
	} else if err == nil {
		response.Body = lateBody{response.Body}
	}
	return response, err
}

type lateBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b lateBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		time.Sleep(lateness)
	}
	return n, err
}

// The transport offers a connection for the next request before it returns an answer without a body. What
// followed a refused answer was read as the answer to that request.
func TestNoRequestFollowsARefusedAnswer(t *testing.T) {
	const smuggled = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nsmuggled"
	tests := map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding : chunked\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOdd Name: x\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			address := startRawServer(t, answer, smuggled)
			transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(context.Context, string, string) (net.Conn, error) {
				return newServerConn(net.Dial("tcp", address))
			}}
			defer transport.CloseIdleConnections()
			var group sync.WaitGroup
			for range 2 {
				group.Go(func() {
					request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
					if err != nil {
						t.Error(err)
						return
					}
					response, err := readAnswer(t.Context(), lateTransport{transport}, request, &httptrace.ClientTrace{})
					if err != nil {
						return
					}
					defer response.Body.Close()
					if body, err := io.ReadAll(response.Body); err == nil {
						t.Errorf("answer %q", body)
					}
				})
			}
			group.Wait()
		})
	}
}
