package callerhttp

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/placing"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// Dialect describes the HTTP headers that callers and backend servers of a site
// use. A site whose headers differ from those of DefaultDialect passes its own.
type Dialect struct {
	RequestIDHeader      string // carries the caller's id of a request; servers repeat it; empty if callers send none
	ObjectHeader         string // names the object of a request
	LeavingHeader        string // on answers of a server that will stop, with the value 1
	LimitHeader          string // on answers of a server that limits the requests a second of all VMs together
	DigestHeader         string // on every successful answer of a server; empty if servers send none
	FractionalRetryAfter bool   // Retry-After may have a fraction of a second
	CustomerHeader       string // names the customer of a request to servers
	ForwardClientIP      bool   // add X-Forwarded-For with the caller's address

	// ParseTimeout returns how long the caller waits, or 0 if it does not say.
	ParseTimeout func(http.Header) (time.Duration, error)
	// ParseKey returns the key of the customer that sent the request, and false if the header
	// holds none, several or a malformed one; if nil, no request has a known key.
	ParseKey func(http.Header) (key string, found bool)
	// SetSendHeaders sets the headers that carry SendInfo to a server.
	SetSendHeaders func(http.Header, SendInfo)
	// NotRun reports whether a server states that it did not run the request; if
	// nil, the statuses that the service lists mean so.
	NotRun func(*http.Response) bool
	// ParseHealth returns the id of the server that answered a health check, and how long it stays
	// cold, or an error if the answer does not say so; nil if servers never do.
	ParseHealth func(*http.Response) (id string, coldFor time.Duration, err error)
	// ParseLoad returns the load that a server reports, unknown if the answer holds no report, or an
	// error if it holds a malformed one; nil if servers report none.
	ParseLoad func(http.Header) (placing.Load, error)
}

// SendInfo is what a server is told of one send.
type SendInfo struct {
	RequestID string        // the caller's, or one that the entry made
	Remaining time.Duration // until the request's deadline
	ServerID  string        // to which the request is sent
}

var errTimeoutHeader = errors.New("Heatherwood-Timeout must be a duration such as 800ms, at most 10m")

// DefaultDialect returns heatherwood's own headers.
func DefaultDialect() Dialect {
	return Dialect{
		ObjectHeader:    problem.HeaderObject,
		LeavingHeader:   problem.HeaderLeaving,
		LimitHeader:     problem.HeaderLimit,
		CustomerHeader:  problem.HeaderCustomer,
		ForwardClientIP: true,
		ParseKey:        AuthorizationKey("Bearer"),
		ParseTimeout: func(header http.Header) (time.Duration, error) {
			text := header.Get(problem.HeaderTimeout)
			if text == "" {
				return 0, nil
			}
			timeout, err := time.ParseDuration(text)
			if err != nil || timeout <= 0 || timeout > maxTimeout {
				return 0, errTimeoutHeader
			}
			return timeout, nil
		},
		SetSendHeaders: func(header http.Header, info SendInfo) {
			header.Set(problem.HeaderTimeout, info.Remaining.Truncate(time.Millisecond).String())
			header.Set(problem.HeaderRequest, info.RequestID)
		},
	}
}

func (d Dialect) parseTimeout(header http.Header) (time.Duration, error) {
	return d.ParseTimeout(header)
}

func (d Dialect) setSendHeaders(header http.Header, info SendInfo) { d.SetSendHeaders(header, info) }

// notice returns what a server says about itself in an answer. Its wish that this VM
// stay away counts where it turned the request away.
func (d Dialect) notice(response *http.Response) routing.Notice {
	var n routing.Notice
	n.Leaving = d.LeavingHeader != "" && response.Header.Get(d.LeavingHeader) == "1"
	if response.StatusCode == http.StatusServiceUnavailable {
		n.StayAway = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	if text := response.Header.Get(d.LimitHeader); d.LimitHeader != "" && text != "" {
		limit, err := parseLimit(text)
		if err != nil {
			n.BadLimit = text[:min(len(text), maxLoggedLimitBytes)]
		}
		n.Limit = limit
	}
	return n
}

const (
	maxLimitPerSecond   = 1e6 // a server that names more than this means something else
	maxLoggedLimitBytes = 32
)

var errLimit = fmt.Errorf("a limit must be a number of requests a second from 0 to %g", float64(maxLimitPerSecond))

// parseLimit returns the limit that a server names, in requests a second.
func parseLimit(text string) (routing.Limit, error) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(perSecond >= 0 && perSecond <= maxLimitPerSecond) {
		return routing.Limit{}, errLimit
	}
	return routing.Limit{Named: true, PerSecond: perSecond}, nil
}

const maxStayAway = time.Hour // a longer Retry-After counts as so long

// parseRetryAfter returns the time of a Retry-After header in seconds, which may have a
// fraction, or 0 if there is none or it cannot be read.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxStayAway.Seconds()) * float64(time.Second))
}

// isForeign reports whether the answer belongs to another request: a server may send a
// second copy of an answer, late, on a connection that is in use again. Where servers repeat
// the id of the request, an answer without it is foreign too, also a refusal.
func (d Dialect) isForeign(response *http.Response, id string) bool {
	echo := response.Header.Get(d.answerIDHeader())
	return echo != id && (echo != "" || d.RequestIDHeader != "")
}

// answerIDHeader returns the header of an answer that carries the request's id, to the
// caller and from servers that repeat it.
func (d Dialect) answerIDHeader() string {
	if d.RequestIDHeader == "" {
		return problem.HeaderRequest
	}
	return d.RequestIDHeader
}

// checkAnswer returns an error if the answer belongs to another request or lacks
// its digest.
func (d Dialect) checkAnswer(response *http.Response, id string) error {
	if d.RequestIDHeader != "" && response.Header.Get(d.RequestIDHeader) != id {
		return errWrongRequest
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if d.DigestHeader != "" && success && response.Header.Get(d.DigestHeader) == "" {
		return errNoDigest
	}
	return nil
}
