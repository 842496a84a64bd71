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
	Entries []string `json:"entries"` // entry VMs, host:port, best first
	TTL     string   `json:"ttl"`     // time to live, a Go duration
	Version uint64   `json:"version"` // log index of the steering document
}

// Headers between callers and entry VMs.
const (
	headerService = "Heatherwood-Service"
	headerRun     = "Heatherwood-Run" // of an answer: whether the request ran; absent from a backend server's answer
	headerKey     = "Idempotency-Key"
)

const maxAnswerBytes = 64 << 10

// Lookup asks an entry VM which entry VMs to use; the query names the service.
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
	Seeds   []string         // entry VMs for the first look-up, host:port
	HTTP    *http.Client     // nil means http.DefaultClient
	Now     func() time.Time // nil means time.Now

	mutex   sync.Mutex
	entries []string  // of the last look-up
	expires time.Time // end of their time to live
}

// Request is one request; its body can be sent again.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	Key    string // Idempotency-Key of an operation that must run at most once
}

// ErrUnknown means that the request may have run, so that sending it again may run
// it twice.
var ErrUnknown = errors.New("the request may have run; its outcome is unknown")

// ErrRefused means that no entry VM accepted the request, which did not run.
var ErrRefused = errors.New("no entry took the request; nothing was run")

func (c *Client) httpClient() *http.Client {
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

// Entries returns the entry VMs to use, from the last look-up during its time to
// live, else from a new one. When no entry VM answers, it returns those of the
// last look-up even though they have expired.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.now().Before(c.expires) {
		return c.entries, nil
	}
	var failures []error
	for _, entry := range append(append([]string(nil), c.entries...), c.Seeds...) {
		answer, err := Lookup(ctx, c.httpClient(), entry, url.Values{"service": {c.Service}})
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
// tries the next entry VM after an answer that says that the request did not run,
// unless the request itself is at fault. After a lost connection it sends again
// only a GET, a HEAD or a request with a Key, since each key runs once; net/http
// may send such a request to the same entry VM once more if the connection had
// been used before. After an answer that says that the outcome is unknown it never
// sends again, and returns the answer together with ErrUnknown.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return nil, err
	}
	var lastErr error
	mayHaveRun := false
	for _, entry := range entries {
		response, err := c.send(ctx, entry, r)
		if err != nil {
			lastErr = err
			c.expireEntries()
			if !r.canResend() {
				return nil, errors.Join(ErrUnknown, err)
			}
			mayHaveRun = true
			continue
		}
		switch response.Header.Get(headerRun) {
		case "":
			return response, nil
		case "no":
			if isClientError(response.StatusCode) {
				return response, nil
			}
			lastErr = fmt.Errorf("entry %s refused: %s", entry, response.Status)
			response.Body.Close()
		default:
			return response, ErrUnknown
		}
	}
	if mayHaveRun {
		return nil, errors.Join(ErrUnknown, lastErr)
	}
	return nil, errors.Join(ErrRefused, lastErr)
}

// isClientError reports whether the status blames the request, so that other
// entry VMs would refuse it too.
func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// canResend reports whether the request may be sent again after it may have run.
func (r Request) canResend() bool {
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
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, fmt.Errorf("send to entry %s: %w", entry, err)
	}
	return response, nil
}

// expireEntries makes the next request start with a look-up.
func (c *Client) expireEntries() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expires = time.Time{}
}
