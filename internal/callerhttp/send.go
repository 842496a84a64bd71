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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/intake"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// send relays the request to one server. It returns the next step, or true once the
// caller has been answered.
func (in *inbound) send(ctx context.Context, grant *dispatch.Grant) (relay.Step, error, bool) {
	sentAt := in.relay.Node.Clock.Now()
	if !sentAt.Before(in.deadline) {
		// The process stood still since the slot was granted: the grant, and the lease
		// of a claim, may have ended.
		in.noteSend(grant.Server, relay.EvidenceNothingWritten)
		step, err := in.exchange.ReportSend(context.WithoutCancel(ctx), reducer.RequestSent{Result: routing.ResultUnused, Evidence: relay.EvidenceNothingWritten, Cause: "the deadline passed before the send"})
		return step, err, false
	}
	a := in.newAttempt(ctx, grant, sentAt)
	in.exchange.OnAbandon(a.loseWay)
	switch {
	case grant.HedgeAfter > 0:
		a = in.tryHedged(ctx, a)
	case grant.MayStall:
		in.start(a)
		a.await()
	default:
		a.sent = in.try(a)
	}
	if !a.hasEnded() {
		step, err := in.stall(ctx, a)
		return step, err, false
	}
	defer a.abandon(nil)
	return in.finishSend(ctx, a)
}

// try sends the request to one server, and checks and buffers the answer.
func (in *inbound) try(a *attempt) sendResult {
	sendCtx := a.ctx
	sent := in.roundTrip(sendCtx, in.relay.Transport, a.connect, in.outbound(sendCtx, a.grant.Address, a.grant.Server))
	response, result := sent.response, sent.Result
	if response != nil && in.relay.Dialect.isForeign(response, in.id) {
		// Not even a refusal counts: it says nothing about this request.
		sent.dropForeign()
		response, result = nil, sent.Result
	}
	if response != nil && response.StatusCode != http.StatusMisdirectedRequest {
		sent.Notice = in.relay.Dialect.notice(response)
	}
	if response != nil && in.reportedNotRun(response) {
		result, sent.Evidence = routing.ResultShed, relay.EvidenceStated
		sent.AddressReused = response.StatusCode == http.StatusMisdirectedRequest
		sent.connect.noteRefusal()
		if sent.AddressReused {
			// The request may go to the successor at the address next, over another connection.
			sent.connect.closeConn()
		}
		go drain(response)
		response = nil
	}
	if response != nil && in.route != nil {
		sent.Load = in.relay.parseLoad(response.Header)
		if result, sent.Cause = in.bufferAnswer(sendCtx, response, result); result == routing.ResultBroken || result == routing.ResultTimeout || result == routing.ResultCancelled {
			response.Body.Close()
			response, sent.Evidence = nil, relay.EvidenceWritten
		}
	}
	sent.response, sent.Result = response, result
	return sent
}

// finishSend reports the end of a send, and passes the answer on if that is the next step.
func (in *inbound) finishSend(ctx context.Context, a *attempt) (relay.Step, error, bool) {
	if in.stalledWon() && !a.hasAnswer() {
		in.endLoser(a)
		return in.useStalled(ctx)
	}
	grant, sendCtx, sent := a.grant, a.ctx, a.sent
	response, result := sent.response, sent.Result
	in.countAttempt(a)
	if result != routing.ResultOK || relay.StatusMeansNotRun(sent.Status) {
		sent.Conn = sent.connect.localAddress()
	}
	latency := in.relay.Node.Clock.Now().Sub(a.sentAt)
	sent.Result, sent.Latency = result, latency
	in.exchange.OnAbandon(nil)
	sent.BodyMissing = response == nil && sent.Evidence == relay.EvidenceWritten && in.body.isMissing(result)
	sent.ServerDied = result == routing.ResultBroken && response == nil && sendCtx.Err() == nil && in.relay.connectionRefused(grant.Address)
	step, err := in.exchange.ReportSend(context.WithoutCancel(ctx), sent.RequestSent)
	if err != nil || !step.Stream {
		if response != nil {
			response.Body.Close()
		}
		return step, err, false
	}
	defer response.Body.Close()
	if !in.outrunStalled() {
		return in.useStalled(ctx)
	}
	in.stream(response, result, latency)
	return relay.Step{}, nil, true
}

// drain reads the rest of a short body, so that the connection can be reused, and returns an error
// if the body breaks off. A request does not wait for it: a faulty server may never end the body.
func drain(response *http.Response) error {
	const (
		maxBytes = 64 << 10
		maxTime  = 500 * time.Millisecond
	)
	timer := time.AfterFunc(maxTime, func() { response.Body.Close() })
	defer timer.Stop()
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBytes))
	response.Body.Close()
	if err != nil {
		return fmt.Errorf("read the rest of the answer: %w", err)
	}
	return nil
}

const refusalCheckTimeout = 200 * time.Millisecond // several times the one-way latency to any server

// connectionRefused reports whether a new connection to the address is refused or
// reset: a server may break one connection and live, but one that refuses the next has
// died.
func (l *Relay) connectionRefused(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalCheckTimeout)
	defer cancel()
	conn, err := l.Node.DialServer(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	conn.Close()
	return false
}

// reportedNotRun reports whether the server states that it did not run the request.
func (in *inbound) reportedNotRun(response *http.Response) bool {
	if in.relay.Dialect.NotRun != nil {
		return in.relay.Dialect.NotRun(response)
	}
	return slices.Contains(in.service.Shed, response.StatusCode)
}

// sendResult is the result of a send; response is nil if no header of an answer came.
type sendResult struct {
	reducer.RequestSent
	response *http.Response
	connect  *connectAttempt
}

// dropForeign closes the connection that brought an answer to another request: the answer to
// this one follows on it, and the next request would get that.
func (s *sendResult) dropForeign() {
	s.Result, s.Cause, s.Evidence, s.Status = routing.ResultBroken, errWrongRequest.Error(), relay.EvidenceWritten, 0
	s.response.Body.Close()
	s.connect.closeConn()
}

// errAbandoned is the cause of the end of a send whose way was found to be lost.
var errAbandoned = errors.New("the send was given up: the way to the server is lost")

// roundTrip sends the request and waits for the header of the answer. The result says
// whether anything reached the other end: once a byte of the request's header may have
// been written, it is never ResultDialFailed or ResultDialTimeout.
func (in *inbound) roundTrip(ctx context.Context, transport http.RoundTripper, connect *connectAttempt, request *http.Request) sendResult {
	body, err := in.body.open()
	if err != nil {
		return sendResult{RequestSent: reducer.RequestSent{Result: routing.ResultUnused, Evidence: relay.EvidenceNothingWritten, Cause: err.Error()}}
	}
	request.Body = body
	in.caller.enter(stageConnect)
	response, err := connect.roundTrip(transport, request)
	sent := sendResult{response: response, connect: connect}
	sent.ConnectTime = time.Duration(connect.dialTook.Load())
	connect.noteAnswer(response)
	if err != nil {
		sent.Cause = err.Error()
	}
	headerWritten := connect.mayHaveWritten()
	switch {
	case err == nil:
		sent.Evidence, sent.Status = relay.EvidenceAnswered, response.StatusCode
	case headerWritten:
		sent.Evidence = relay.EvidenceWritten
	case connect.connected.Load():
		sent.Evidence = relay.EvidenceNothingWritten
	default:
		sent.Evidence = relay.EvidenceNoConnection
	}
	switch {
	case err == nil && response.StatusCode >= http.StatusInternalServerError:
		sent.Result = routing.ResultError
	case err == nil:
		sent.Result = routing.ResultOK
	case !headerWritten && connect.withheld.Load():
		sent.Result = routing.ResultWithheld
	case !headerWritten && in.baseContext.Err() == nil && ctx.Err() == nil && connect.timedOut.Load():
		sent.Result, sent.Cause = routing.ResultDialTimeout, fmt.Sprintf("no connection within %v", connect.limit)
	case !headerWritten && in.baseContext.Err() == nil && ctx.Err() == nil && errors.Is(err, errNoConnection):
		sent.Result = routing.ResultDialTimeout
	case !headerWritten && in.baseContext.Err() == nil && ctx.Err() == nil:
		sent.Result = routing.ResultDialFailed
	case !headerWritten && in.isAbandoned(ctx):
		sent.Result, sent.Cause = routing.ResultDialTimeout, errAbandoned.Error()
	case !headerWritten:
		sent.Result = routing.ResultUnused
	default:
		sent.Result = in.resultOfBreak(ctx)
	}
	return sent
}

// resultOfBreak returns the result of a send whose answer is missing or incomplete.
func (in *inbound) resultOfBreak(ctx context.Context) routing.Result {
	switch {
	case !in.relay.Node.Clock.Now().Before(in.deadline):
		return routing.ResultTimeout
	case in.baseContext.Err() != nil:
		return routing.ResultCancelled
	case in.isAbandoned(ctx):
		return routing.ResultBroken
	case ctx.Err() != nil:
		return routing.ResultTimeout
	default:
		return routing.ResultBroken
	}
}

// isAbandoned reports whether the send was given up while the caller still waits.
func (in *inbound) isAbandoned(ctx context.Context) bool {
	return in.baseContext.Err() == nil && errors.Is(context.Cause(ctx), errAbandoned)
}

const bufferedAnswerBytes = 256 << 10 // of an answer, read before any of it is passed to the caller

var errWrongRequest = errors.New("the answer belongs to another request")

var errNoDigest = errors.New("the answer has no digest")

// bufferAnswer checks the answer by the dialect, and buffers a small one whole, so
// that the request can be retried if the answer breaks off. It returns the cause of a
// failure for the log.
func (in *inbound) bufferAnswer(ctx context.Context, response *http.Response, result routing.Result) (routing.Result, string) {
	if err := in.relay.Dialect.checkAnswer(response, in.id); err != nil {
		return routing.ResultBroken, err.Error()
	}
	share := in.relay.answers.Open(nil)
	in.keepShare(share)
	limit := in.bufferLimit()
	body, err := share.ReadAll(io.LimitReader(response.Body, limit+1), limit+1)
	full := errors.Is(err, intake.ErrFull)
	if err != nil && !full {
		return in.resultOfBreak(ctx), err.Error()
	}
	if full || int64(len(body)) > limit {
		response.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
		if in.isDownload() {
			response.Body = &pacedBody{ReadCloser: response.Body, ctx: ctx, link: in.relay.link}
		}
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

// joinedBody is a body whose first bytes were read before.
type joinedBody struct {
	io.Reader
	io.Closer
}

// outbound returns the request as it is sent to a server, or to another VM; id names the
// receiver.
func (in *inbound) outbound(ctx context.Context, address, id string) *http.Request {
	incoming := in.request
	target := targetOf(incoming, address)
	request := (&http.Request{
		Method:        incoming.Method,
		URL:           target,
		Host:          incoming.Host,
		Header:        make(http.Header, len(incoming.Header)+3),
		ContentLength: incoming.ContentLength,
	}).WithContext(ctx)
	copyEndToEndHeaders(request.Header, incoming.Header)
	in.setCustomerHeaders(request.Header)
	if in.body.complete() {
		request.ContentLength = int64(len(in.body.prefix))
	}
	in.relay.Dialect.setSendHeaders(request.Header, SendInfo{
		RequestID: in.id,
		Remaining: in.deadline.Sub(in.relay.Node.Clock.Now()),
		ServerID:  id,
	})
	if host, _, err := net.SplitHostPort(incoming.RemoteAddr); err == nil && in.relay.Dialect.ForwardClientIP && in.detour == nil {
		request.Header.Add("X-Forwarded-For", host)
	}
	if _, given := incoming.Header["User-Agent"]; !given {
		request.Header.Set("User-Agent", "")
	}
	return request
}

// targetOf returns the URL of a request that is sent on to an address. The target is the one
// that the caller sent, byte by byte: an encoder would escape it in another way.
func targetOf(incoming *http.Request, address string) *url.URL {
	target := &url.URL{Scheme: "http", Host: address, Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery}
	// Without a path of its own, url.URL would take a target that begins with two slashes
	// for a host, and an absolute one has a host before the path.
	if raw, query, found := strings.Cut(incoming.RequestURI, "?"); strings.HasPrefix(raw, "/") && !strings.HasPrefix(raw, "//") {
		target.Opaque, target.RawQuery, target.ForceQuery = raw, query, found
	}
	return target
}

var copyBuffers = sync.Pool{New: func() any {
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	return &buffer
}}

// stream passes the answer on to the caller. If the body ends early, the connection is
// aborted, so that the caller does not take the body for complete.
func (in *inbound) stream(response *http.Response, result routing.Result, latency time.Duration) {
	header := in.writer.Header()
	copyEndToEndHeaders(header, response.Header)
	header.Set(in.relay.Dialect.answerIDHeader(), in.id)
	in.markAnswer(problem.DetourAnswerServer)
	in.caller.enter(stageAnswer)
	in.status, in.decided = response.StatusCode, decidedByServer
	endsWithConn := in.answerEndsWithConnection()
	if endsWithConn {
		in.setAbortive(true)
	}
	in.writer.WriteHeader(response.StatusCode)
	record := &bodyRecorder{limit: ledger.MaxOutcomeBytes, enabled: in.rule.Once}
	length, err := in.copyBody(response, record)
	if endsWithConn && err == nil {
		in.setAbortive(false)
	}
	switch {
	case err == nil:
	case errors.Is(err, errCallerGone):
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
	in.settle(response, record, length, err)
	if err != nil {
		in.recordMetrics()
		in.logEnd(reducer.Field{Name: "why", Value: err.Error()})
		// net/http would wait for the rest of the caller's body before it closes the connection. An error
		// means that the connection has ended.
		_ = http.NewResponseController(in.writer).SetReadDeadline(in.relay.Node.Clock.Now())
		panic(http.ErrAbortHandler)
	}
}

// answerEndsWithConnection reports whether nothing but the end of the caller's connection will tell the
// end of the answer, whose header is set: a caller of HTTP/1.0 knows no chunks.
func (in *inbound) answerEndsWithConnection() bool {
	return !in.request.ProtoAtLeast(1, 1) && in.request.Method != http.MethodHead && in.writer.Header().Get("Content-Length") == ""
}

// setAbortive sets whether the end of the caller's connection resets it.
func (in *inbound) setAbortive(abortive bool) {
	conn, ok := in.caller.conn.conn.(interface{ SetAbortive(bool) error })
	if !ok {
		return // not a connection of a listener of this package
	}
	if err := conn.SetAbortive(abortive); err != nil && !errors.Is(err, net.ErrClosed) {
		in.relay.Node.LogError(reducer.CodePanicRecovered, err)
	}
}

// settle records the outcome of a `once` operation in the log; length and err are what
// copyBody returned.
func (in *inbound) settle(response *http.Response, record *bodyRecorder, length int64, err error) {
	if !in.rule.Once || in.server == "" {
		return // the VM that sent it to a server records the outcome
	}
	outcome := ledger.Outcome{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Location:    response.Header.Get("Location"),
		Body:        record.body.Bytes(),
		Truncated:   length > int64(record.limit),
	}
	if err != nil && !record.complete {
		outcome = ledger.Outcome{Unknown: true}
	}
	key := ledger.Key{Service: in.service.Name, Key: in.request.Header.Get(problem.HeaderIdempotencyKey)}
	in.relay.Node.ResolveClaim(ledger.Command{Settle: &ledger.Settle{Key: key, Attempt: in.id, Outcome: outcome}})
}

// bodyRecorder keeps the first bytes of an answer, up to one more than its limit.
type bodyRecorder struct {
	limit    int
	enabled  bool
	complete bool // the server sent the whole body
	body     bytes.Buffer
}

func (r *bodyRecorder) add(data []byte) {
	if r.enabled && r.body.Len() <= r.limit {
		r.body.Write(data[:min(len(data), r.limit+1-r.body.Len())])
	}
}

var errAnswerTooLarge = errors.New("the answer is larger than any may be")

var errCallerGone = errors.New("caller stopped reading the answer")

// copyBody passes the body on to the caller and returns the length read in bytes. For
// a `once` operation it reads the whole body even if the caller is gone, so that the
// outcome can be recorded.
func (in *inbound) copyBody(response *http.Response, record *bodyRecorder) (int64, error) {
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	flush := in.writer.Header().Get("Content-Length") == "" // the next part may come late, or never
	control := http.NewResponseController(in.writer)
	total := int64(0)
	var callerErr error
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			total += int64(n)
			record.add(buffer[:n])
			if total > maxBodyBytes {
				return total, errAnswerTooLarge
			}
			if callerErr == nil {
				callerErr = in.writeToCaller(buffer[:n], flush, control)
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
			return total, in.classifyBodyError(err)
		}
	}
}

// writeToCaller passes a part of the body on, and flushes it if asked to.
func (in *inbound) writeToCaller(data []byte, flush bool, control *http.ResponseController) error {
	if _, err := in.writer.Write(data); err != nil {
		return errCallerGone
	}
	if !flush {
		return nil
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errCallerGone
	}
	return nil
}

// classifyBodyError returns errCallerGone if the caller hung up, and else the error
// of the server's connection.
func (in *inbound) classifyBodyError(err error) error {
	if in.baseContext.Err() != nil {
		return errCallerGone
	}
	return err
}
