package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// slowConn reads at most readBytes in each pause, as a caller on a slow link does.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	const (
		readBytes = 4 << 10
		pause     = 15 * time.Millisecond
	)
	time.Sleep(pause)
	return c.Conn.Read(p[:min(len(p), readBytes)])
}

// Closing a connection with unread bytes of its caller reset it, and cut the answer before them.
func TestAnswerIsDeliveredBeforeTheConnectionIsClosed(t *testing.T) {
	t.Parallel()
	const (
		longAnswer = 200_000 // more than the caller's kernel holds
		settle     = 100 * time.Millisecond
	)
	upload := func(header string) string { return "POST / HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n" }
	stop := func(server *http.Server, _ *Guard) { server.SetKeepAlivesEnabled(false) }
	leaveOpen := func(*http.Server, *Guard) {}
	tests := map[string]struct {
		request     string
		next        string // sent before the answer was received
		end         func(*http.Server, *Guard)
		afterAnswer bool // end and next come once the answer has been handed to the kernel
		connections int  // allowed at a time; 0 for any number
	}{
		"stop, another request":                       {request: fullRequest, next: fullRequest, end: stop},
		"stop, another request, limit on connections": {request: fullRequest, next: fullRequest, end: stop, connections: 5},
		"stop, several requests":                      {request: fullRequest, next: strings.Repeat(fullRequest, 500), end: stop},
		"stop, part of a request":                     {request: fullRequest, next: "GET / HT", end: stop},
		"stop, idle connection":                       {request: fullRequest, next: fullRequest, end: stop, afterAnswer: true},
		"stop, a request behind a POST":               {request: upload("Content-Length: 3") + "abc", next: fullRequest, end: stop},
		"stop, rest of a body":                        {request: upload("Content-Length: 900000") + strings.Repeat("a", 1000), next: strings.Repeat("a", 500_000), end: stop},
		"the caller asked for the close":              {request: "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", next: fullRequest, end: leaveOpen},
		"rest of a body":                              {request: upload("Content-Length: 900000") + strings.Repeat("a", 1000), next: strings.Repeat("a", 500_000), end: leaveOpen},
		"rest of a body in chunks":                    {request: upload("Transfer-Encoding: chunked"), next: "7a120\r\n" + strings.Repeat("a", 500_000) + "\r\n", end: leaveOpen},
		"no request in the next bytes":                {request: fullRequest, next: strings.Repeat("\x00\r\n\r\n", 20_000), end: leaveOpen},
		"header too long":                             {request: fullRequest, next: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 200_000), end: leaveOpen},
		"idle timeout": {request: fullRequest, next: fullRequest, afterAnswer: true, end: func(_ *http.Server, g *Guard) {
			g.Clock.(*manualClock).advance(time.Minute)
			g.closeTimedOut()
		}},
		"shutdown": {request: fullRequest, next: fullRequest, afterAnswer: true, end: func(server *http.Server, _ *Guard) {
			server.Shutdown(context.Background())
		}},
		"server closed": {request: fullRequest, next: fullRequest, afterAnswer: true, end: func(server *http.Server, _ *Guard) { server.Close() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			guard := &Guard{
				Clock:          &manualClock{now: time.Now()},
				Limits:         func() document.Limits { return document.Limits{IdleTimeout: document.Duration(15 * time.Second)} },
				OnClose:        func(CloseReason, string, time.Duration) {},
				MaxConnections: test.connections,
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			answer := make(chan struct{})
			server := &http.Server{
				MaxHeaderBytes: 16 << 10,
				ConnState:      guard.TrackState,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					<-answer
					w.Write(bytes.Repeat([]byte("a"), longAnswer))
				}),
			}
			go server.Serve(guard.WrapListener(listener))
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.(*net.TCPConn).SetReadBuffer(16 << 10)
			io.WriteString(conn, test.request)
			time.Sleep(settle)
			if test.afterAnswer {
				close(answer)
				time.Sleep(settle)
			}
			test.end(server, guard)
			go io.WriteString(conn, test.next) // an error means that the connection was closed
			time.Sleep(settle)
			if !test.afterAnswer {
				close(answer)
			}
			response, err := http.ReadResponse(bufio.NewReader(slowConn{conn}), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if n, err := io.Copy(io.Discard, response.Body); err != nil || n != longAnswer {
				t.Errorf("%d of %d bytes of the answer: %v", n, longAnswer, err)
			}
		})
	}
}

// A stop cut answers that were complete in the VM, and that their callers still read.
func TestStopWaitsUntilAnswersAreRead(t *testing.T) {
	t.Parallel()
	const answerBytes = 8 << 20 // more than the kernel holds for both ends
	relay := NewRelay(startControlVM(t), DefaultDialect())
	guard := NewGuard(relay.Node)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	watched := guard.WrapListener(listener)
	server := &http.Server{ConnState: guard.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(bytes.Repeat([]byte("a"), answerBytes))
	})}
	go server.Serve(watched)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, fullRequest+fullRequest)
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		relay.FinishServing(ctx, server, watched, guard)
	}()
	time.Sleep(time.Second)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != answerBytes {
		t.Errorf("%d of %d bytes of the answer: %v", n, answerBytes, err)
	}
	<-stopped
	if ctx.Err() != nil {
		t.Error("the stop took all of its time")
	}
}

// Requests that still waited when the grace of a stop was over ended without an answer.
func TestStopAnswersRequestsThatStillWait(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		stage  stage
		once   bool
		status int // 0 for no answer
	}{
		"for a slot":                 {stage: stageTurn, status: http.StatusServiceUnavailable},
		"for a slot, with a key":     {stage: stageTurn, once: true, status: http.StatusServiceUnavailable},
		"for a connection":           {stage: stageConnect, status: http.StatusServiceUnavailable},
		"for the answer of a server": {stage: stageServer, status: http.StatusServiceUnavailable},
		"for the caller":             {stage: stageAnswer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relay := NewRelay(startControlVM(t), DefaultDialect())
			guard := NewGuard(relay.Node)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			watched := guard.WrapListener(listener)
			server := &http.Server{ConnState: guard.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				in := &inbound{relay: relay, writer: w, request: r, rule: document.Rule{Once: test.once}, service: &document.Service{Name: "web"}}
				defer in.beginWork()()
				in.caller.enter(test.stage)
				select {
				case <-in.baseContext.Done():
					in.refuseAborted(in.baseContext)
				case <-time.After(10 * time.Second):
				}
			})}
			go server.Serve(watched)
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, fullRequest)
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			go relay.FinishServing(ctx, server, watched, guard)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			status := 0
			if err == nil {
				status = response.StatusCode
			}
			if status != test.status {
				t.Errorf("status %d, want %d (%v)", status, test.status, err)
			}
		})
	}
}

// A connection whose next request was waiting when a stop began in the middle of an answer was never
// closed: the close was left to a reader that had ended.
func TestConnectionEndsWhenAStopBeginsDuringAnAnswer(t *testing.T) {
	t.Parallel()
	guard := &Guard{
		Clock:   &manualClock{now: time.Now()},
		Limits:  func() document.Limits { return document.Limits{} },
		OnClose: func(CloseReason, string, time.Duration) {},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	begun, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: guard.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		io.WriteString(w, "a")
		http.NewResponseController(w).Flush()
		close(begun)
		<-finish
		io.WriteString(w, "b")
	})}
	go server.Serve(guard.WrapListener(listener))
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, fullRequest)
	<-begun
	io.WriteString(conn, fullRequest)
	time.Sleep(50 * time.Millisecond)
	server.SetKeepAlivesEnabled(false)
	close(finish)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); string(body) != "ab" || err != nil {
		t.Errorf("answer %q, %v", body, err)
	}
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection did not end: %v", err)
	}
}

// The first request on a connection was read at the end of a stop, and dropped.
func TestFirstRequestDuringAStopIsAnswered(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"at once": 0, "a little later": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for {
				err, late := sendDuringStop(t, pause)
				if err == nil {
					return
				}
				if !late {
					t.Fatalf("no answer: %v", err)
				}
			}
		})
	}
}

// sendDuringStop stops a server, sends the first request on a connection after a pause, and returns how
// reading the answer failed, and whether the request may have come too late to be answered.
func sendDuringStop(t *testing.T, pause time.Duration) (err error, late bool) {
	relay := NewRelay(startControlVM(t), DefaultDialect())
	guard := NewGuard(relay.Node)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	watched := guard.WrapListener(listener)
	accepted := make(chan struct{})
	server := &http.Server{
		ConnState: func(conn net.Conn, state http.ConnState) {
			guard.TrackState(conn, state)
			if state == http.StateNew {
				close(accepted)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "answer") }),
	}
	go server.Serve(watched)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-accepted
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	go relay.FinishServing(ctx, server, watched, guard)
	time.Sleep(pause)
	io.WriteString(conn, fullRequest)
	late = time.Since(began) > closeTime/2
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	return err, late
}
