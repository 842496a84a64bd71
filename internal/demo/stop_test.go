package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Requests that came on open connections while a VM stopped were read and closed unanswered.
func TestRequestsDuringAStopAreRefused(t *testing.T) {
	const work = 2 * time.Second
	p := newWorkplace(t)
	d, entry := p.start(t)
	p.mutex.Lock()
	p.work = work
	p.mutex.Unlock()
	request := func(path string) string {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nHeatherwood-Service: proofs\r\nHeatherwood-Timeout: 10s\r\n\r\n", path)
	}
	var conns []net.Conn
	for range 6 {
		conn, err := net.Dial("tcp", entry)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	io.WriteString(conns[0], request("/running"))
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), 2*work)
		defer cancel()
		d.VMs[0].Stop(ctx)
	}()
	for i, conn := range conns[1:] {
		time.Sleep(200 * time.Millisecond)
		io.WriteString(conn, request(fmt.Sprint("/late/", i)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Heatherwood-Run") != "no" || !response.Close {
			t.Errorf("request %d during the stop: %+v, %v; want it refused as not run", i, response, err)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("request that ran when the stop began: %+v, %v", response, err)
	}
	select {
	case <-stopped:
	case <-time.After(progressTimeout):
		t.Error("the VM did not stop")
	}
	d.VMs[0] = nil
}
