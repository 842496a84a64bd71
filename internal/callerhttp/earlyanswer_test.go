package callerhttp

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// numberedBody returns a body in which each eight bytes tell their place.
func numberedBody(length int) []byte {
	body := make([]byte, 0, length)
	for len(body) < length {
		body = binary.BigEndian.AppendUint64(body, uint64(len(body)))
	}
	return body
}

var errChanged = errors.New("bytes of the body are missing or changed")

// readEarly reads a request, answers when a part of its body has come, and reads on. It returns what
// is wrong with the body that it got.
func readEarly(conn net.Conn, whole []byte, answerBytes int) error {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	got := make([]byte, len(whole)/4)
	if _, err := io.ReadFull(request.Body, got); err != nil {
		return fmt.Errorf("read the start of the body: %w", err)
	}
	var answering sync.WaitGroup
	answering.Go(func() {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", answerBytes)
		conn.Write(make([]byte, answerBytes))
	})
	rest, err := io.ReadAll(request.Body)
	answering.Wait()
	got = append(got, rest...)
	if !bytes.HasPrefix(whole, got) || err == nil && len(got) < len(whole) {
		return fmt.Errorf("%w: %d of %d bytes, end: %v", errChanged, len(got), len(whole), err)
	}
	return nil
}

// A server that answered before it had read a long body got a body with holes, which ended as if it
// were whole.
func TestBodyHasNoHolesAfterAnEarlyAnswer(t *testing.T) {
	t.Parallel()
	const partBytes = 20_000 // that the caller sends at once
	tests := map[string]struct {
		bodyBytes, answerBytes int
		chunked                bool
	}{
		"in chunks, long answer":       {bodyBytes: 400_000, answerBytes: 600_000, chunked: true},
		"with a length, long answer":   {bodyBytes: 400_000, answerBytes: 600_000},
		"in chunks, short answer":      {bodyBytes: 400_000, answerBytes: 100, chunked: true},
		"with a length, short answer":  {bodyBytes: 400_000, answerBytes: 100},
		"in chunks, very long body":    {bodyBytes: 4_000_000, answerBytes: 600_000, chunked: true},
		"with a length, body just cut": {bodyBytes: 80_000, answerBytes: 600_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := NewRelay(startControlVM(t), DefaultDialect())
			upstream, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer upstream.Close()
			whole := numberedBody(test.bodyBytes)
			verdict := make(chan error, 1)
			go func() {
				conn, err := upstream.Accept()
				if err == nil {
					err = readEarly(conn, whole, test.answerBytes)
				}
				verdict <- err
			}()
			entry, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			transport := &http.Transport{}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				in := &inbound{relay: relay, writer: w, request: r, view: &reducer.View{Document: &document.Document{}}, deadline: time.Now().Add(10 * time.Second)}
				defer in.releaseShares()
				defer in.finishBody()
				if !in.readBody() {
					return
				}
				body, err := in.body.open()
				if err != nil {
					t.Error(err)
					return
				}
				request := &http.Request{Method: r.Method, URL: targetOf(r, upstream.Addr().String()), Body: body, ContentLength: r.ContentLength, Header: http.Header{}}
				response, err := transport.RoundTrip(request.WithContext(r.Context()))
				if err != nil {
					t.Error(err)
					return
				}
				defer response.Body.Close()
				w.WriteHeader(response.StatusCode)
				io.Copy(w, response.Body)
			})}
			go server.Serve(entry)
			defer server.Close()
			reader, writer := io.Pipe()
			go func() {
				defer writer.Close()
				for at := 0; at < len(whole); at += partBytes {
					writer.Write(whole[at:min(at+partBytes, len(whole))])
					time.Sleep(2 * time.Millisecond)
				}
			}()
			request, err := http.NewRequest(http.MethodPost, "http://"+entry.Addr().String()+"/", reader)
			if err != nil {
				t.Fatal(err)
			}
			if !test.chunked {
				request.ContentLength = int64(test.bodyBytes)
			}
			response, err := (&http.Transport{}).RoundTrip(request)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			if err != nil {
				t.Errorf("answer: %v", err)
			}
			if err := <-verdict; err != nil {
				t.Error(err)
			}
		})
	}
}

// After an answer to a request whose body was not read, net/http panicked and the connection ended at
// the next request, though the answer had not said so.
func TestConnectionIsUsableAfterAnEarlyAnswer(t *testing.T) {
	t.Parallel()
	const length = 150_000
	withLength := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length) + strings.Repeat("a", length)
	inChunks := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", length) + strings.Repeat("a", length) + "\r\n0\r\n\r\n"
	tests := map[string]struct {
		request string
		read    bool // the body is read before the answer
		closes  bool // the answer announces that the connection ends
	}{
		"unread, with a length": {request: withLength, closes: true},
		"unread, in chunks":     {request: inChunks, closes: true},
		"read, with a length":   {request: withLength, read: true},
		"read, in chunks":       {request: inChunks, read: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := NewRelay(startControlVM(t), DefaultDialect())
			entry, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				in := &inbound{relay: relay, writer: w, request: r, view: &reducer.View{Document: &document.Document{}}, deadline: time.Now().Add(10 * time.Second)}
				defer in.releaseShares()
				defer in.finishBody()
				if !in.readBody() {
					return
				}
				if body, err := in.body.open(); err != nil {
					t.Error(err)
				} else if test.read {
					io.Copy(io.Discard, body)
				}
				in.writer.WriteHeader(http.StatusOK)
				io.WriteString(in.writer, "answer")
			})}
			go server.Serve(entry)
			defer server.Close()
			conn, err := net.Dial("tcp", entry.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for i := range 3 {
				go io.WriteString(conn, test.request) // an error shows below
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", i, err)
				}
				if answer, err := io.ReadAll(response.Body); string(answer) != "answer" || err != nil {
					t.Fatalf("answer %d: %q, %v", i, answer, err)
				}
				if response.Close != test.closes {
					t.Errorf("the answer announces the end of the connection: %v, want %v", response.Close, test.closes)
				}
				if response.Close {
					return
				}
			}
		})
	}
}
