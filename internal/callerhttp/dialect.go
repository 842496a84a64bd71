package callerhttp

import (
	"errors"
	"net/http"
	"time"

	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/problem"
)

// Dialect is the headers in which callers and servers of a site speak. A site
// with other headers than the system's own passes a Dialect of its own.
type Dialect struct {
	RequestIDHeader      string // header with the caller's id of an attempt; servers repeat it; empty if callers name none
	ObjectHeader         string // header that names the object of a request
	DigestHeader         string // header that every success of a server carries; empty if they carry none
	FractionalRetryAfter bool   // Retry-After may have a fraction of a second
	ForwardClientIP      bool   // tell servers the caller's address

	// ParseTimeout reads how long the caller waits; 0 means that it does not say.
	ParseTimeout func(http.Header) (time.Duration, error)
	// SetSendHeaders sets what a server must know of a send.
	SetSendHeaders func(http.Header, SendInfo)
	// NotRun reports whether a server states that it did not run the request; nil
	// goes by the statuses that the service lists.
	NotRun func(*http.Response) bool
	// ParseLoad reads what a server says of its load; nil if servers say nothing.
	ParseLoad func(http.Header) placing.Load
}

// SendInfo is one send to a server.
type SendInfo struct {
	RequestID string        // id of the attempt
	Remaining time.Duration // until the caller gives up
	ServerID  string        // id of the server that is meant
}

var errTimeout = errors.New("Heatherwood-Timeout must be a duration such as 800ms, at most 10m")

// DefaultDialect returns the system's own headers.
func DefaultDialect() Dialect {
	return Dialect{
		ObjectHeader:    problem.HeaderObject,
		ForwardClientIP: true,
		ParseTimeout: func(header http.Header) (time.Duration, error) {
			text := header.Get(problem.HeaderTimeout)
			if text == "" {
				return 0, nil
			}
			given, err := time.ParseDuration(text)
			if err != nil || given <= 0 || given > maxTimeout {
				return 0, errTimeout
			}
			return given, nil
		},
		SetSendHeaders: func(header http.Header, out SendInfo) {
			header.Set(problem.HeaderTimeout, out.Remaining.Truncate(time.Millisecond).String())
			header.Set(problem.HeaderRequest, out.RequestID)
		},
	}
}

func (d Dialect) timeout(header http.Header) (time.Duration, error) { return d.ParseTimeout(header) }

func (d Dialect) address(header http.Header, out SendInfo) { d.SetSendHeaders(header, out) }

func (d Dialect) load(header http.Header) placing.Load {
	if d.ParseLoad == nil {
		return placing.Load{}
	}
	return d.ParseLoad(header)
}

// answerID is the header of an answer that names the request.
func (d Dialect) answerID() string {
	if d.RequestIDHeader == "" {
		return problem.HeaderRequest
	}
	return d.RequestIDHeader
}

// check returns why an answer is not the one to the request, or nil.
func (d Dialect) check(response *http.Response, id string) error {
	if d.RequestIDHeader != "" && response.Header.Get(d.RequestIDHeader) != id {
		return errForeign
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if d.DigestHeader != "" && success && response.Header.Get(d.DigestHeader) == "" {
		return errNoDigest
	}
	return nil
}
