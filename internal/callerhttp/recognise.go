package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/intake"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// matchRequest finds the service, the rule and the deadline of the request, or
// refuses it and returns false.
func (in *inbound) matchRequest() bool {
	if in.view == nil || !in.view.Ready {
		in.refuse(http.StatusServiceUnavailable, relay.ReasonStarting, "no steering document is in force yet", startupRetryAfter(in.id))
		return false
	}
	if in.request.Header.Get("Upgrade") != "" {
		in.refuse(http.StatusNotImplemented, "upgrade", "protocol upgrades are not relayed", 0)
		return false
	}
	if !in.headerFits() {
		in.refuse(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "the header is larger than allowed", 0)
		return false
	}
	if in.route = in.view.Document.Routes.Match(in.request.Host, routePath(in.request.URL)); in.route != nil {
		return in.applyRoute()
	}
	services := in.view.Document.Services
	if name := in.request.Header.Get(problem.HeaderService); name != "" {
		in.service = services.ByName(name)
	} else {
		in.service = services.ByHost(in.request.Host)
	}
	if in.service == nil {
		in.refuseUnmatched("unknown-service", "no service has this name or host")
		return false
	}
	var matched bool
	in.rule, matched = in.service.Match(in.request.Method, routePath(in.request.URL))
	if !matched {
		in.refuseUnmatched("no-rule", "no rule of the service fits the method and path")
		return false
	}
	return in.identify() && in.setDeadline() && in.checkKey()
}

// routePath returns the path by which routes and rules are chosen: unescaped, except for slashes.
// An escaped slash is a part of a name and ends no prefix; the server gets it as it is.
func routePath(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path // no slash is escaped
	}
	path, err := url.PathUnescape(strings.NewReplacer("%2F", "%252F", "%2f", "%252F").Replace(u.RawPath))
	if err != nil {
		return u.RawPath // net/http has parsed it, so that this can't happen
	}
	return path
}

// refuseUnmatched refuses a request that the document in force does not provide for. A
// newer document that this VM knows of may do so, and callers take a 404 for final.
func (in *inbound) refuseUnmatched(reason, detail string) {
	if in.relay.Node.IsOutdated(in.request.Context()) {
		in.refuse(http.StatusServiceUnavailable, relay.ReasonDocumentOutdated, "a newer steering document is not in force here yet", outdatedRetryDelay)
		return
	}
	in.refuse(http.StatusNotFound, reason, detail, 0)
}

// applyRoute takes the rule and the deadline from the route. It only fills in the
// route's first service; the reducer chooses the one that gets the request.
func (in *inbound) applyRoute() bool {
	in.service = in.view.Document.Services.ByName(in.route.To[0].Service)
	in.rule = document.Rule{Rank: in.route.Rank, Once: in.route.Kind == document.KindOnce}
	if !in.identify() {
		return false
	}
	timeout := in.route.Timeout.Std()
	callerTimeout, err := in.relay.Dialect.parseTimeout(in.request.Header)
	if err != nil {
		in.refuse(http.StatusBadRequest, "bad-timeout", err.Error(), 0)
		return false
	}
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout)
	}
	in.deadline = in.receivedAt.Add(timeout)
	in.targetTime = in.receivedAt.Add(in.route.Target.Std())
	return in.checkKey()
}

// startupRetryAfter returns when a caller should retry on a VM that is starting: once
// the VM should be ready, and with jitter, so that callers don't return all at once.
func startupRetryAfter(id string) time.Duration {
	fraction := float64(xxhash.Sum64String(id)%1024) / 1024
	return startupRetryDelay + time.Duration(fraction*float64(startupRetryDelay)/2)
}

// setDeadline takes the timeout from the caller, the rank or the service, in this
// order, or refuses the request and returns false.
func (in *inbound) setDeadline() bool {
	timeout := in.service.Target.Std()
	for _, rank := range in.view.Document.Ranks.Ranks {
		if rank.Name == in.rule.Rank && rank.Target > 0 {
			timeout = rank.Target.Std()
		}
	}
	callerTimeout, err := in.relay.Dialect.parseTimeout(in.request.Header)
	if err != nil {
		in.refuse(http.StatusBadRequest, "bad-timeout", err.Error(), 0)
		return false
	}
	if callerTimeout > 0 {
		timeout = callerTimeout
	}
	in.deadline = in.receivedAt.Add(timeout)
	return true
}

// checkKey refuses a `once` request without a valid Idempotency-Key and returns false.
func (in *inbound) checkKey() bool {
	key := in.request.Header.Get(problem.HeaderIdempotencyKey)
	switch {
	case !in.rule.Once:
		return true
	case key == "":
		in.refuse(http.StatusBadRequest, "key-missing", "this operation must not be repeated and needs an Idempotency-Key", 0)
		return false
	case len(key) > ledger.MaxKeyBytes || len(in.request.Header.Values(problem.HeaderIdempotencyKey)) > 1:
		in.refuse(http.StatusBadRequest, "key-invalid", "send one Idempotency-Key of at most 256 bytes", 0)
		return false
	}
	return true
}

// readBody reads the first bytes of the body, or all of it for a `once` request, whose
// digest covers the whole body. It refuses a body that is too large or late and
// returns false.
func (in *inbound) readBody() bool {
	limit := int64(bodyPrefixBytes)
	if in.rule.Once {
		limit = maxOnceBodyBytes
	}
	if in.request.ContentLength > in.maxBody() || (in.rule.Once && in.request.ContentLength > maxOnceBodyBytes) {
		in.refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than allowed", 0)
		return false
	}
	if in.request.Body == nil || in.request.ContentLength == 0 {
		return true
	}
	http.NewResponseController(in.writer).SetReadDeadline(in.deadline)
	share := in.relay.bodies.Open(nil)
	in.shares = append(in.shares, share)
	prefix, err := share.ReadAll(io.LimitReader(in.request.Body, limit+1), limit+1)
	if err == nil && int64(len(prefix)) > limit {
		err = share.Grow(sendBufferBytes)
	}
	switch {
	case errors.Is(err, intake.ErrFull):
		in.refuse(http.StatusServiceUnavailable, "bodies-full", "this VM holds as much of requests' bodies as it may", bodiesFullRetry)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		in.refuse(http.StatusRequestTimeout, "body-late", "the body did not arrive in time", 0)
		return false
	case err != nil:
		in.refuse(http.StatusBadRequest, "body-cut", "the body ended early", 0)
		return false
	case int64(len(prefix)) > in.maxBody():
		in.refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than allowed", 0)
		return false
	case int64(len(prefix)) <= limit:
		in.body.prefix = prefix
	case in.rule.Once:
		in.refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than allowed", 0)
		return false
	default:
		// Else net/http reads and discards bytes of the body as soon as the answer begins, between
		// those that the send reads. An error means that the connection does not do so.
		_ = http.NewResponseController(in.writer).EnableFullDuplex()
		in.body.prefix, in.body.rest = prefix, http.MaxBytesReader(in.writer, in.request.Body, in.maxBody()-int64(len(prefix)))
		in.writer = &streamWriter{ResponseWriter: in.writer, body: &in.body}
	}
	return true
}

// maxBody returns the limit on the body in bytes; the document may lower it.
func (in *inbound) maxBody() int64 {
	if limit := in.view.Document.Routes.Limits.Body; limit > 0 {
		return min(limit, maxBodyBytes)
	}
	return maxBodyBytes
}

// headerFits reports whether the header is within the document's limit.
func (in *inbound) headerFits() bool {
	limit := in.view.Document.Routes.Limits.Header
	if limit <= 0 || in.detour != nil {
		return true
	}
	const lineOverhead = len(": \r\n")
	size := int64(len(in.request.Method) + len(in.request.RequestURI) + len(in.request.Host) + 2*lineOverhead)
	for name, values := range in.request.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + lineOverhead)
		}
	}
	return size <= limit
}
