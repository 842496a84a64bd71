package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// send relays the request to one server. It returns the next step, or true when
// the caller has been answered.
func (in *inbound) send(ctx context.Context, grant *dispatch.Grant) (relay.Step, error, bool) {
	began := in.relay.Node.Clock.Now()
	response, result := in.roundTrip(ctx, grant)
	latency := in.relay.Node.Clock.Now().Sub(began)
	if response != nil && slices.Contains(in.service.Shed, response.StatusCode) {
		result = routing.ResultShed
		drain(response)
		response = nil
	}
	step, err := in.exchange.Sent(context.WithoutCancel(ctx), result, latency)
	if err != nil || !step.Stream {
		if response != nil {
			response.Body.Close()
		}
		return step, err, false
	}
	defer response.Body.Close()
	in.stream(response, result, latency)
	return relay.Step{}, nil, true
}

// drain reads the rest of a short body so that the connection can be used again.
func drain(response *http.Response) {
	const mostBytes = 64 << 10
	io.Copy(io.Discard, io.LimitReader(response.Body, mostBytes))
	response.Body.Close()
}

// roundTrip sends the request and waits for the head of the answer. A result
// says whether anything reached the server: once a byte of the head may have
// been written, it is never ResultNoDial.
func (in *inbound) roundTrip(ctx context.Context, grant *dispatch.Grant) (*http.Response, routing.Result) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	request := in.outbound(httptrace.WithClientTrace(ctx, trace), grant)
	response, err := in.relay.Transport.RoundTrip(request)
	switch {
	case err == nil && response.StatusCode >= http.StatusInternalServerError:
		return response, routing.ResultError
	case err == nil:
		return response, routing.ResultOK
	case !wrote.Load() && in.base.Err() == nil && ctx.Err() == nil:
		return nil, routing.ResultNoDial
	case !wrote.Load():
		return nil, routing.ResultUnused
	case in.base.Err() != nil:
		return nil, routing.ResultCancelled
	case ctx.Err() != nil:
		return nil, routing.ResultLate
	default:
		return nil, routing.ResultBroken
	}
}

func (in *inbound) outbound(ctx context.Context, grant *dispatch.Grant) *http.Request {
	incoming := in.request
	target := &url.URL{
		Scheme:   "http",
		Host:     grant.Address,
		Path:     incoming.URL.Path,
		RawPath:  incoming.URL.RawPath,
		RawQuery: incoming.URL.RawQuery,
	}
	request := (&http.Request{
		Method:        incoming.Method,
		URL:           target,
		Host:          incoming.Host,
		Header:        make(http.Header, len(incoming.Header)+3),
		Body:          in.body(),
		ContentLength: incoming.ContentLength,
	}).WithContext(ctx)
	copyHeader(request.Header, incoming.Header)
	if in.whole {
		request.ContentLength = int64(len(in.prefix))
	}
	remaining := in.deadline.Sub(in.relay.Node.Clock.Now())
	request.Header.Set(problem.HeaderTimeout, remaining.Truncate(time.Millisecond).String())
	request.Header.Set(problem.HeaderRequest, in.id)
	if host, _, err := net.SplitHostPort(incoming.RemoteAddr); err == nil {
		request.Header.Add("X-Forwarded-For", host)
	}
	if _, given := incoming.Header["User-Agent"]; !given {
		request.Header.Set("User-Agent", "")
	}
	return request
}

var copyBuffers = sync.Pool{New: func() any {
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	return &buffer
}}

// stream passes the answer on. A body that ends early aborts the connection, so
// that no caller takes it for whole.
func (in *inbound) stream(response *http.Response, result routing.Result, latency time.Duration) {
	header := in.writer.Header()
	copyHeader(header, response.Header)
	header.Set(problem.HeaderRequest, in.id)
	in.writer.WriteHeader(response.StatusCode)
	record := &recorder{limit: ledger.MaxOutcomeBytes, active: in.rule.Once}
	written, err := in.copyBody(response, record)
	switch {
	case err == nil:
	case errors.Is(err, errCaller):
		result = routing.ResultCancelled
		in.outcome = "caller-gone"
	case errors.Is(err, context.DeadlineExceeded):
		result = routing.ResultLate
		in.outcome = "body-late"
	default:
		result = routing.ResultBroken
		in.outcome = "body-cut"
	}
	in.exchange.End(result, latency)
	in.settle(response, record, written, err)
	if err != nil {
		in.count()
		panic(http.ErrAbortHandler)
	}
}

// settle records the outcome of a `once` operation.
func (in *inbound) settle(response *http.Response, record *recorder, written int64, err error) {
	if !in.rule.Once {
		return
	}
	outcome := ledger.Outcome{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Location:    response.Header.Get("Location"),
		Body:        record.body.Bytes(),
		Truncated:   written > int64(record.limit),
	}
	if err != nil && !record.complete {
		outcome = ledger.Outcome{Unknown: true}
	}
	key := ledger.Key{Service: in.service.Name, Key: in.request.Header.Get(problem.HeaderKey)}
	in.relay.Node.Record(ledger.Command{Settle: &ledger.Settle{Key: key, Attempt: in.id, Outcome: outcome}})
}

// recorder keeps the start of an answer.
type recorder struct {
	limit    int
	active   bool
	complete bool // the whole body came from the server
	body     bytes.Buffer
}

func (r *recorder) add(data []byte) {
	if r.active && r.body.Len() <= r.limit {
		r.body.Write(data[:min(len(data), r.limit+1-r.body.Len())])
	}
}

var errCaller = errors.New("caller does not take the answer")

// copyBody reads the whole body even when the caller is gone, for a `once`
// operation, so that its outcome can be recorded.
func (in *inbound) copyBody(response *http.Response, record *recorder) (int64, error) {
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	flush := response.ContentLength < 0
	control := http.NewResponseController(in.writer)
	total := int64(0)
	var callerErr error
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			total += int64(n)
			record.add(buffer[:n])
			if callerErr == nil {
				callerErr = in.pass(buffer[:n], flush, control)
			}
			if callerErr != nil && !in.rule.Once {
				return total, callerErr
			}
		}
		if err == io.EOF {
			record.complete = true
			return total, callerErr
		}
		if err != nil {
			return total, in.bodyError(err)
		}
	}
}

func (in *inbound) pass(data []byte, flush bool, control *http.ResponseController) error {
	if _, err := in.writer.Write(data); err != nil {
		return errCaller
	}
	if flush {
		control.Flush()
	}
	return nil
}

// bodyError tells a caller that hung up from a server that broke off.
func (in *inbound) bodyError(err error) error {
	if in.base.Err() != nil {
		return errCaller
	}
	return err
}
