package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["pipelined"] = caseSpec{cores: 3, edges: 3, play: playPipelined}
}

const answerBytes = 220_000 // of each answer to a read

// slowReader reads at most at a rate, as a client on a slow link does.
type slowReader struct {
	net.Conn
	bytesPerSecond int
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p[:min(len(p), 4096)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.bytesPerSecond))
	return n, err
}

func answerLong(length int) func(u *upstream, w http.ResponseWriter, r *http.Request, body []byte) {
	return func(_ *upstream, w http.ResponseWriter, _ *http.Request, _ []byte) {
		w.Header().Set("Content-Length", fmt.Sprint(length))
		block := make([]byte, 1000)
		for i := range block {
			block[i] = 'a' + byte(i%26)
		}
		for sent := 0; sent < length; sent += len(block) {
			if _, err := w.Write(block[:min(len(block), length-sent)]); err != nil {
				return
			}
		}
	}
}

func readRequest(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nAffinity-Key: 17\r\nDeadline-Ms: 9000\r\n\r\n", path, id)
}

// playPipelined has clients that read slowly send a second safe request before the answer to the
// first one is complete; one entry is stopped meanwhile.
func playPipelined(s *site, trouble bool) ([]string, error) {
	if err := s.operate(http.MethodPut, "/api/config", config(3, 15, "")); err != nil {
		return nil, err
	}
	for i := range 6 {
		if _, err := s.startUpstream(fmt.Sprintf("i-reads-%d", i), "reads", zoneName(i), "", func(u *upstream) {
			u.answer, u.work = answerLong(answerBytes), 600*time.Millisecond
		}); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	const clients = 6
	var (
		wait   sync.WaitGroup
		mutex  sync.Mutex
		broken []string
	)
	entry := s.edges()[0]
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if text := pipelinedClient(s, entry, i); text != "" {
				mutex.Lock()
				defer mutex.Unlock()
				broken = append(broken, text)
			}
		}()
	}
	time.Sleep(400 * time.Millisecond)
	if trouble {
		s.record.printf("SIGTERM to %s", entry.name)
		entry.signal(syscall.SIGTERM)
	}
	wait.Wait()
	return broken, nil
}

func pipelinedClient(s *site, entry *machine, number int) string {
	conn, err := net.Dial("tcp", entry.front())
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	first, second := fmt.Sprintf("p%d-1", number), fmt.Sprintf("p%d-2", number)
	began := time.Now()
	fmt.Fprint(conn, readRequest("/read/a", first))
	time.Sleep(200 * time.Millisecond)
	fmt.Fprint(conn, readRequest("/read/b", second))
	reader := bufio.NewReader(slowReader{Conn: conn, bytesPerSecond: 150_000})
	for _, id := range []string{first, second} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			s.record.printf("client: no answer to %s after %v: %v", id, time.Since(began).Round(time.Millisecond), err)
			if id == first {
				return fmt.Sprintf("LOST: no answer to %s, sent %v before", id, time.Since(began).Round(time.Millisecond))
			}
			return ""
		}
		n, err := io.Copy(io.Discard, response.Body)
		s.record.printf("client: %d for %s, %d of %d bytes after %v, close %v, error %v", response.StatusCode, id, n, response.ContentLength, time.Since(began).Round(time.Millisecond), response.Close, err)
		if err != nil {
			return fmt.Sprintf("LOST: the answer to %s ended after %d of %d bytes: %v", id, n, response.ContentLength, err)
		}
		if response.Close {
			return ""
		}
	}
	return ""
}
