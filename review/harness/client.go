package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const shopHost = "shop.example"

// sent is a request of a client with its answer.
type sent struct {
	id      string
	method  string
	uri     string
	bytes   int
	digest  string
	status  int // 0 without an answer
	at      time.Time
	elapsed time.Duration
}

// client sends requests to one entry and keeps what it sent.
type client struct {
	cluster *cluster
	edge    *machine
	host    string
	http    *http.Client

	mutex sync.Mutex
	sent  []sent
	group sync.WaitGroup
}

func (c *cluster) newClient(edge *machine) *client {
	return &client{cluster: c, edge: edge, host: shopHost, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// chunks is a body of unknown length, so that it is sent in chunks.
type chunks struct{ io.Reader }

// send sends one request; in chunks if chunked is set, else with a length.
func (c *client) send(id, method, path, object string, body []byte, chunked bool, budget time.Duration) sent {
	s := sent{id: id, method: method, uri: path, bytes: len(body), digest: digest(body), at: time.Now()}
	var reader io.Reader
	switch {
	case len(body) == 0:
	case chunked:
		reader = chunks{bytes.NewReader(body)}
	default:
		reader = bytes.NewReader(body)
	}
	c.cluster.record.write("client at %s sends %s: %s %s%s, body of %d bytes (chunked %v), %s", c.edge.name, id, method, c.host, path, s.bytes, chunked, s.digest)
	request, err := http.NewRequest(method, "http://"+c.cluster.frontAddress(c.edge)+path, reader)
	if err == nil {
		request.Host = c.host
		request.Header.Set("Request-Id", id)
		request.Header.Set("Affinity-Key", object)
		request.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
		s.status = c.do(request, budget)
	}
	s.elapsed = time.Since(s.at)
	c.cluster.record.write("client at %s: %s answered %d after %.3f s", c.edge.name, id, s.status, s.elapsed.Seconds())
	c.mutex.Lock()
	c.sent = append(c.sent, s)
	c.mutex.Unlock()
	return s
}

// do returns the status of a complete answer to the request, or 0.
func (c *client) do(request *http.Request, budget time.Duration) int {
	answered := &http.Client{Transport: c.http.Transport, Timeout: budget}
	response, err := answered.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// stream sends requests at the interval, without waiting for their answers, until stop is
// closed.
func (c *client) stream(prefix string, interval time.Duration, stop <-chan struct{}, send func(id string, n int)) {
	c.group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			c.group.Go(func() { send(fmt.Sprintf("%s-%s-%d", prefix, c.edge.name, n), n) })
		}
	})
}

// wait waits for all answers and returns what was sent.
func (c *client) wait() []sent {
	c.group.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent
}
