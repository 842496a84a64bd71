package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// send relays the request to one server. It returns the next step, or true when
// the caller has been answered.
func (in *inbound) send(ctx context.Context, grant *dispatch.Grant) (relay.Step, error, bool) {
	began := in.relay.Node.Clock.Now()
	sent := in.roundTrip(ctx, grant)
	response, result := sent.response, sent.Result
	if response != nil && in.notRun(response) {
		result = routing.ResultShed
		sent.AddressReused = response.StatusCode == http.StatusMisdirectedRequest
		drain(response)
		response = nil
	}
	if response != nil && in.route != nil {
		sent.Load = in.relay.Dialect.load(response.Header)
		if result, sent.Cause = in.readWhole(ctx, response, result); result == routing.ResultBroken || result == routing.ResultTimeout || result == routing.ResultCancelled {
			response.Body.Close()
			response = nil
		}
	}
	latency := in.relay.Node.Clock.Now().Sub(began)
	sent.Result, sent.Latency = result, latency
	sent.ServerDied = result == routing.ResultBroken && response == nil && refuses(grant.Address)
	step, err := in.exchange.ReportSend(context.WithoutCancel(ctx), sent.RequestSent)
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

const refusesLimit = 200 * time.Millisecond // several times the way to any server

// refuses reports whether nothing listens at the address any more: a server that
// lost one connection lives, one that refuses the next has died.
func refuses(address string) bool {
	conn, err := net.DialTimeout("tcp", address, refusesLimit)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	conn.Close()
	return false
}

// notRun reports whether the server states that it did not run the request.
func (in *inbound) notRun(response *http.Response) bool {
	if in.relay.Dialect.NotRun != nil {
		return in.relay.Dialect.NotRun(response)
	}
	return slices.Contains(in.service.Shed, response.StatusCode)
}

// sending is a send with the head of its answer, if one came.
type sending struct {
	reducer.RequestSent
	response *http.Response
}

// roundTrip sends the request and waits for the head of the answer. A result
// says whether anything reached the server: once a byte of the head may have
// been written, it is never ResultNoDial or ResultDialLate.
func (in *inbound) roundTrip(ctx context.Context, grant *dispatch.Grant) sending {
	connect := connecting{now: in.relay.Node.Clock.Now, patience: &in.relay.Patience}
	response, err := connect.trip(in.relay.Transport, in.outbound(ctx, grant))
	sent := sending{response: response}
	sent.ConnectTime = time.Duration(connect.took.Load())
	if err != nil {
		sent.Cause = err.Error()
	}
	wrote := connect.wrote.Load()
	switch {
	case err == nil && response.StatusCode >= http.StatusInternalServerError:
		sent.Result = routing.ResultError
	case err == nil:
		sent.Result = routing.ResultOK
	case !wrote && in.base.Err() == nil && ctx.Err() == nil && connect.late.Load():
		sent.Result, sent.Cause = routing.ResultDialTimeout, fmt.Sprintf("no connection within %v", connect.limit)
	case !wrote && in.base.Err() == nil && ctx.Err() == nil:
		sent.Result = routing.ResultDialFailed
	case !wrote:
		sent.Result = routing.ResultUnused
	default:
		sent.Result = in.brokenResult(ctx)
	}
	return sent
}

// brokenResult tells why an answer did not come whole.
func (in *inbound) brokenResult(ctx context.Context) routing.Result {
	switch {
	case !in.relay.Node.Clock.Now().Before(in.deadline):
		return routing.ResultTimeout
	case in.base.Err() != nil:
		return routing.ResultCancelled
	case ctx.Err() != nil:
		return routing.ResultTimeout
	default:
		return routing.ResultBroken
	}
}

const wholeBytes = 256 << 10 // of an answer, read before any of it goes to the caller

var errForeign = errors.New("the answer belongs to another request")

var errNoDigest = errors.New("the answer has no digest")

// readWhole checks that the answer belongs to the request and reads a small one
// to its end, so that a broken one can still be tried again.
func (in *inbound) readWhole(ctx context.Context, response *http.Response, result routing.Result) (routing.Result, string) {
	if err := in.relay.Dialect.check(response, in.id); err != nil {
		return routing.ResultBroken, err.Error()
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes+1))
	if err != nil {
		return in.brokenResult(ctx), err.Error()
	}
	if len(body) > wholeBytes {
		response.Body = &joined{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
		return result, ""
	}
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	if response.ContentLength < 0 && in.request.Method != http.MethodHead {
		response.ContentLength = int64(len(body))
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	return result, ""
}

// joined is a body of which the start was read before.
type joined struct {
	io.Reader
	io.Closer
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
	in.relay.Dialect.address(request.Header, SendInfo{
		RequestID: in.id,
		Remaining: in.deadline.Sub(in.relay.Node.Clock.Now()),
		ServerID:  grant.Server,
	})
	if host, _, err := net.SplitHostPort(incoming.RemoteAddr); err == nil && in.relay.Dialect.ForwardClientIP {
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
	header.Set(in.relay.Dialect.answerID(), in.id)
	in.status = response.StatusCode
	in.writer.WriteHeader(response.StatusCode)
	record := &recorder{limit: ledger.MaxOutcomeBytes, active: in.rule.Once}
	written, err := in.copyBody(response, record)
	switch {
	case err == nil:
	case errors.Is(err, errCaller):
		result = routing.ResultCancelled
		in.outcome = "caller-gone"
	case errors.Is(err, context.DeadlineExceeded):
		result = routing.ResultTimeout
		in.outcome = "body-late"
	default:
		result = routing.ResultBroken
		in.outcome = "body-cut"
	}
	in.exchange.End(result, latency)
	in.settle(response, record, written, err)
	if err != nil {
		in.count()
		in.logEnd()
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
	key := ledger.Key{Service: in.service.Name, Key: in.request.Header.Get(problem.HeaderIdempotencyKey)}
	in.relay.Node.ResolveClaim(ledger.Command{Settle: &ledger.Settle{Key: key, Attempt: in.id, Outcome: outcome}})
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
