package callerhttp

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// The target of a request reaches the server as the caller sent it.
func TestTargetIsSentUnchanged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	lines := make(chan string)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			line, _ := reader.ReadString('\n')
			lines <- strings.TrimSpace(line)
			fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
			conn.Close()
		}
	}()
	tests := map[string]string{ // what the server gets, if not the same
		"/a":                      "",
		"/a?":                     "",
		"/a?b=c?d":                "",
		"/a|b":                    "",
		"/a%7Cb":                  "",
		"/a%2fb/%2F":              "",
		"/\xc5\xa1kart":           "",
		"/a//b":                   "",
		"//a/b":                   "",
		"/a:b":                    "",
		"/\"q\"?x=\"y\"":          "",
		"http://shop.example/a?b": "/a?b",
	}
	for sent, want := range tests {
		t.Run(sent, func(t *testing.T) {
			if want == "" {
				want = sent
			}
			incoming, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + sent + " HTTP/1.1\r\nHost: shop.example\r\n\r\n")))
			if err != nil {
				t.Fatal(err)
			}
			request := &http.Request{Method: http.MethodGet, URL: targetOf(incoming, listener.Addr().String()), Host: incoming.Host, Header: make(http.Header)}
			go http.DefaultTransport.RoundTrip(request)
			if got := <-lines; got != "GET "+want+" HTTP/1.1" {
				t.Errorf("the server got %q, want target %q", got, want)
			}
		})
	}
}
