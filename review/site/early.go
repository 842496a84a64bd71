package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["early"] = caseSpec{cores: 3, edges: 3, play: playEarly}
}

const (
	longBodyBytes    = 400_000 // of each long request
	bodyPartBytes    = 20_000  // that a client sends at once
	bodyPartPause    = 10 * time.Millisecond
	earlyAnswerBytes = 600_000
	earlyPart        = 50 // one of so many answers of a spoiled upstream comes early
	longWorkers      = 40
	longTraffic      = 9 * time.Second
	garbleLength     = 5 * time.Second // for which answers come early
)

// longBody returns a body in which each eight bytes tell their place.
func longBody(length int) []byte {
	body := make([]byte, 0, length)
	for len(body) < length {
		body = binary.BigEndian.AppendUint64(body, uint64(len(body)))
	}
	return body[:length]
}

// hole returns the first place at which the received bytes aren't those that were sent there.
func hole(received []byte) (int, bool) {
	for at := 0; at+8 <= len(received); at += 8 {
		if binary.BigEndian.Uint64(received[at:]) != uint64(at) {
			return at, true
		}
	}
	return 0, false
}

// earlyUpstream serves connections as an upstream does that may answer before it has read a long
// body: it keeps the connection and reads on.
type earlyUpstream struct {
	*upstream
	spoiled  func() bool // whether answers may come early now
	answered atomic.Int64
	early    atomic.Int64
	broken   func(text string)
}

func (e *earlyUpstream) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *earlyUpstream) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !e.answer(conn, request) {
			return
		}
	}
}

// answer answers one request and returns whether the connection can be used on.
func (e *earlyUpstream) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if id == "" {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nWarmup-Ms: 0\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", e.id, e.slots)
		return true
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		io.Copy(io.Discard, request.Body)
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	if e.spoiled() && e.answered.Add(1)%earlyPart == 0 {
		e.early.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-of-%s\r\nContent-Length: %d\r\n\r\n", id, id, earlyAnswerBytes)
		go conn.Write(make([]byte, earlyAnswerBytes))
		received, err := io.ReadAll(request.Body)
		at, wrong := hole(received)
		e.site.record.printf("upstream %s: answered %s early, then read %d bytes of %d, wrong from byte %d: %v, end: %v", e.id, id, len(received), longBodyBytes, at, wrong, err)
		if wrong {
			e.broken(fmt.Sprintf("UNASKED: where byte %d of the body of %s was due, upstream %s got byte %d", at, id, e.id, binary.BigEndian.Uint64(received[at:])))
		}
		return err == nil
	}
	received, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	if at, wrong := hole(received); wrong || len(received) != longBodyBytes {
		e.broken(fmt.Sprintf("UNASKED: upstream %s ran %s with %d bytes, wrong from byte %d: %v", e.id, id, len(received), at, wrong))
	}
	e.mutex.Lock()
	e.runs[id]++
	e.mutex.Unlock()
	time.Sleep(e.work)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-of-%s\r\nServer-Load: 1,0,%d\r\nContent-Length: 2\r\n\r\nok", id, id, e.slots)
	return true
}

var errNoEarly = errors.New("no answer came early")

// playEarly has clients send long bodies; a small part of the answers of half of the upstreams comes
// before the body is in.
func playEarly(s *site, trouble bool) ([]string, error) {
	if err := s.operate(http.MethodPut, "/api/config", config(3, 15, "")); err != nil {
		return nil, err
	}
	var (
		mutex  sync.Mutex
		broken []string
	)
	note := func(text string) {
		mutex.Lock()
		defer mutex.Unlock()
		broken = append(broken, text)
	}
	var began atomic.Int64 // when the traffic began, in milliseconds since 1970; 0 before
	garbled := func() bool {
		start := began.Load()
		return trouble && start > 0 && time.Since(time.UnixMilli(start)) < garbleLength
	}
	var upstreams []*earlyUpstream
	for i := range 8 {
		e := &earlyUpstream{spoiled: func() bool { return i%2 == 0 && garbled() }, broken: note}
		u, err := s.startUpstream(fmt.Sprintf("i-orders-%d", i), "orders", zoneName(i), "", func(u *upstream) {
			u.slots, u.serveRaw = 9, e.serve
			e.upstream = u
		})
		if err != nil {
			return nil, err
		}
		e.upstream = u
		upstreams = append(upstreams, e)
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	began.Store(time.Now().UnixMilli())
	var wait sync.WaitGroup
	statuses := make(map[int]int)
	for worker := range longWorkers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i, end := 0, time.Now().Add(longTraffic); time.Now().Before(end); i++ {
				status := sendLong(s.edges()[worker%3], fmt.Sprintf("l%d-%d", worker, i), i%4 != 0)
				mutex.Lock()
				statuses[status]++
				mutex.Unlock()
			}
		}()
	}
	wait.Wait()
	s.record.printf("clients: answers by status: %v", statuses)
	var early int64
	for _, e := range upstreams {
		early += e.early.Load()
	}
	if trouble && early == 0 {
		return nil, errNoEarly
	}
	mutex.Lock()
	defer mutex.Unlock()
	return broken, nil
}

// sendLong sends one long request, in chunks or with a length, and returns the status of the answer,
// 0 without one.
func sendLong(entry *machine, id string, chunked bool) int {
	conn, err := net.Dial("tcp", entry.front())
	if err != nil {
		return 0
	}
	defer conn.Close()
	framing := fmt.Sprintf("Content-Length: %d", longBodyBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST /once/%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: 9000\r\n%s\r\n\r\n", id, id, id, framing)
	go func() {
		body := longBody(longBodyBytes)
		for at := 0; at < len(body); at += bodyPartBytes {
			part := body[at:min(at+bodyPartBytes, len(body))]
			if chunked {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
			} else {
				conn.Write(part)
			}
			time.Sleep(bodyPartPause)
		}
		if chunked {
			fmt.Fprint(conn, "0\r\n\r\n")
		}
	}()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
