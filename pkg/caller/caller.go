package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// Answer is the answer to a look-up.
type Answer struct {
	Entries []string `json:"entries"` // host:port, best first
	TTL     string   `json:"ttl"`
	Version uint64   `json:"version"`
}

// Headers between callers and the system.
const (
	headerService = "Heatherwood-Service"
	headerRun     = "Heatherwood-Run"
	headerKey     = "Idempotency-Key"
)

const maxAnswerBytes = 64 << 10

// Lookup asks one entry which entries to use.
func Lookup(ctx context.Context, client *http.Client, entry string, query url.Values) (Answer, error) {
	address := "http://" + entry + "/v1/entries?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Answer{}, fmt.Errorf("build look-up: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("look up at %s: %w", entry, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Answer{}, fmt.Errorf("look up at %s: status %s", entry, response.Status)
	}
	var answer Answer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return Answer{}, fmt.Errorf("look up at %s: %w", entry, err)
	}
	return answer, nil
}

// Client sends requests of one service.
type Client struct {
	Service string
	Seeds   []string // entries to ask first
	HTTP    *http.Client
	Now     func() time.Time

	mutex   sync.Mutex
	entries []string
	expires time.Time
}

// Request is one request; its body can be sent again.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	Key    string // Idempotency-Key of an operation that must not be repeated
}

// ErrUnknown tells that the request may have run and must not be sent again
// blindly.
var ErrUnknown = errors.New("the request may have run; its outcome is unknown")

// ErrRefused tells that no entry took the request; nothing was run.
var ErrRefused = errors.New("no entry took the request; nothing was run")

func (c *Client) http() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

func (c *Client) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// Entries returns the entries to use, from the last look-up while it is fresh.
// When no entry answers, the last answer is used beyond its time to live.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.now().Before(c.expires) {
		return c.entries, nil
	}
	var failures []error
	for _, entry := range append(append([]string(nil), c.entries...), c.Seeds...) {
		answer, err := Lookup(ctx, c.http(), entry, url.Values{"service": {c.Service}})
		if err != nil || len(answer.Entries) == 0 {
			failures = append(failures, err)
			continue
		}
		ttl, err := time.ParseDuration(answer.TTL)
		if err != nil {
			ttl = time.Second
		}
		c.entries, c.expires = answer.Entries, c.now().Add(ttl)
		return c.entries, nil
	}
	if len(c.entries) > 0 {
		return c.entries, nil
	}
	return nil, errors.Join(append(failures, ErrRefused)...)
}

// Do sends the request and returns the answer, whose body the caller closes. It
// tries other entries while an answer says that nothing was run. A request with
// a Key may also be sent again after a lost connection, because the system runs
// a key once; after an answer that says unknown it is never sent again.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return nil, err
	}
	var last error
	mayHaveRun := false
	for _, entry := range entries {
		response, err := c.send(ctx, entry, r)
		if err != nil {
			last = err
			c.forget()
			if !r.resendable() {
				return nil, errors.Join(ErrUnknown, err)
			}
			mayHaveRun = true
			continue
		}
		switch response.Header.Get(headerRun) {
		case "":
			return response, nil
		case "no":
			if final(response.StatusCode) {
				return response, nil
			}
			last = fmt.Errorf("entry %s refused: %s", entry, response.Status)
			response.Body.Close()
		default:
			return response, ErrUnknown
		}
	}
	if mayHaveRun {
		return nil, errors.Join(ErrUnknown, last)
	}
	return nil, errors.Join(ErrRefused, last)
}

// final reports whether another entry would refuse just the same.
func final(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// resendable reports whether the request may be sent again though it may have
// run.
func (r Request) resendable() bool {
	return r.Key != "" || r.Method == http.MethodGet || r.Method == http.MethodHead
}

func (c *Client) send(ctx context.Context, entry string, r Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+entry+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	request.Header.Set(headerService, c.Service)
	if r.Key != "" {
		request.Header.Set(headerKey, r.Key)
	}
	response, err := c.http().Do(request)
	if err != nil {
		return nil, fmt.Errorf("send to entry %s: %w", entry, err)
	}
	return response, nil
}

// forget makes the next request look up again.
func (c *Client) forget() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expires = time.Time{}
}
