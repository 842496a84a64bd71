package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// recognise finds the service, the rule and the deadline.
func (in *inbound) recognise() bool {
	if in.view == nil || !in.view.Ready {
		in.refuse(http.StatusServiceUnavailable, "starting", "no steering document is in force yet", startingRetry(in.id))
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
	if in.route = in.view.Document.Routes.Match(in.request.Host, in.request.URL.Path); in.route != nil {
		return in.recogniseRoute()
	}
	services := in.view.Document.Services
	if name := in.request.Header.Get(problem.HeaderService); name != "" {
		in.service = services.ByName(name)
	} else {
		in.service = services.ByHost(in.request.Host)
	}
	if in.service == nil {
		in.refuse(http.StatusNotFound, "unknown-service", "no service has this name or host", 0)
		return false
	}
	var matched bool
	in.rule, matched = in.service.Match(in.request.Method, in.request.URL.Path)
	if !matched {
		in.refuse(http.StatusNotFound, "no-rule", "no rule of the service fits the method and path", 0)
		return false
	}
	return in.findDeadline() && in.checkKey()
}

// recogniseRoute takes what the route says; the reducer chooses the service.
func (in *inbound) recogniseRoute() bool {
	in.service = in.view.Document.Services.ByName(in.route.To[0].Service)
	in.rule = document.Rule{Rank: in.route.Rank, Once: in.route.Kind == document.KindOnce}
	timeout := in.route.Timeout.Std()
	given, err := in.relay.Dialect.timeout(in.request.Header)
	if err != nil {
		in.refuse(http.StatusBadRequest, "bad-timeout", err.Error(), 0)
		return false
	}
	if given > 0 {
		timeout = min(timeout, given)
	}
	in.deadline = in.began.Add(timeout)
	in.target = in.began.Add(in.route.Target.Std())
	return in.checkKey()
}

// startingRetry is when a caller should return to a VM that starts: not before the VM
// should be ready, and not together with the others.
func startingRetry(id string) time.Duration {
	spread := float64(xxhash.Sum64String(id)%1024) / 1024
	return retryWhenStarting + time.Duration(spread*float64(retryWhenStarting)/2)
}

func (in *inbound) findDeadline() bool {
	timeout := in.service.Target.Std()
	for _, rank := range in.view.Document.Ranks.Ranks {
		if rank.Name == in.rule.Rank && rank.Target > 0 {
			timeout = rank.Target.Std()
		}
	}
	given, err := in.relay.Dialect.timeout(in.request.Header)
	if err != nil {
		in.refuse(http.StatusBadRequest, "bad-timeout", err.Error(), 0)
		return false
	}
	if given > 0 {
		timeout = given
	}
	in.deadline = in.began.Add(timeout)
	return true
}

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

// readBody reads the start of the body, all of it for a `once` request, whose
// digest covers the whole.
func (in *inbound) readBody() bool {
	limit := int64(prefixBytes)
	if in.rule.Once {
		limit = maxOnceBytes
	}
	if in.request.ContentLength > in.maxBody() || (in.rule.Once && in.request.ContentLength > maxOnceBytes) {
		in.refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than allowed", 0)
		return false
	}
	if in.request.Body == nil || in.request.ContentLength == 0 {
		in.whole = true
		return true
	}
	http.NewResponseController(in.writer).SetReadDeadline(in.deadline)
	prefix, err := io.ReadAll(io.LimitReader(in.request.Body, limit+1))
	switch {
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
		in.prefix, in.whole = prefix, true
	case in.rule.Once:
		in.refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than allowed", 0)
		return false
	default:
		in.prefix, in.rest = prefix, http.MaxBytesReader(in.writer, in.request.Body, in.maxBody()-int64(len(prefix)))
	}
	return true
}

// maxBody bounds the body by the document, which may set less than the entry.
func (in *inbound) maxBody() int64 {
	if limit := in.view.Document.Routes.Limits.Body; limit > 0 {
		return min(limit, maxBodyBytes)
	}
	return maxBodyBytes
}

// headerFits reports whether the header is within the document's bound.
func (in *inbound) headerFits() bool {
	limit := in.view.Document.Routes.Limits.Header
	if limit <= 0 {
		return true
	}
	const line = len(": \r\n")
	size := int64(len(in.request.Method) + len(in.request.RequestURI) + len(in.request.Host) + 2*line)
	for name, values := range in.request.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + line)
		}
	}
	return size <= limit
}
