package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const clientPatience = 2 * time.Second

// client sends requests to the edge machines in turn, and notes what comes back.
type client struct {
	site *site
	http *http.Client
	name string
	key  string // that names the caller; empty without one

	patience time.Duration // after which it gives up

	mutex sync.Mutex
	sent  int
	ended map[int]int // requests by status, 0 for no answer
}

func (s *site) newClient(name string) *client {
	return &client{site: s, http: &http.Client{}, name: name, patience: clientPatience, ended: make(map[int]int)}
}

// openEach makes the client open a new connection for each request, to an address that is picked anew.
func (c *client) openEach() { c.http.Transport = &http.Transport{DisableKeepAlives: true} }

// send sends one request to the next edge machine; its results are those of sendTo.
func (c *client) send(method, path, object string) (string, int) {
	c.mutex.Lock()
	n := c.sent
	c.mutex.Unlock()
	edges := c.site.machinesOf(false)
	return c.sendTo(edges[n%len(edges)], method, path, object)
}

// sendTo sends one request, and returns its id and the status; 0 means that no answer came.
func (c *client) sendTo(m *machine, method, path, object string) (string, int) {
	c.mutex.Lock()
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	c.mutex.Unlock()
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("body of " + id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), body)
	if err != nil {
		return id, 0
	}
	request.Host = siteHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Affinity-Key", object)
	request.Header.Set("Deadline-Ms", fmt.Sprint(c.patience.Milliseconds()))
	if c.key != "" {
		request.Header.Set("Authorization", "Token "+c.key)
	}
	c.site.record.note("client: %s %s %s to %s", method, path, id, m.name)
	status, text := c.do(request)
	c.site.record.note("client: %s ends with %d %s", id, status, text)
	c.mutex.Lock()
	c.ended[status]++
	c.mutex.Unlock()
	return id, status
}

func (c *client) do(request *http.Request) (int, string) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// summary returns how many requests ended with each status.
func (c *client) summary() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return fmt.Sprintf("%s: %d sent, by status %v", c.name, c.sent, c.ended)
}

// repeat calls a function at an interval until the returned function is called.
func repeat(interval time.Duration, f func(i int)) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
				f(i)
			}
		}
	}()
	return func() {
		close(done)
		group.Wait()
	}
}

// isOf reports whether a request with the id was sent by the client of a name.
func isOf(id, name string) bool { return strings.HasPrefix(id, name+"-") }

func sortTimes(times []time.Time) {
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}

// endedWith returns how many requests ended with a status.
func (c *client) endedWith(status int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ended[status]
}
