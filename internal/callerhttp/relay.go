package callerhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Bounds on what a caller may send.
const (
	prefixBytes       = 64 << 10  // of a body, kept for further tries
	maxOnceBytes      = 1 << 20   // of the body of a `once` request
	maxBodyBytes      = 256 << 20 // of any body
	maxTimeout        = 10 * time.Minute
	holdAfterDeadline = 5 * time.Second // a claim stays held after the deadline
	writeGrace        = 30 * time.Second
	readGrace         = time.Second // so that the request's own deadline ends it, and not a failed read
	retryWhenStarting = time.Second // a control quorum forms and its document spreads in that
)

// Relay answers callers' requests from backend servers.
type Relay struct {
	Node      *node.Node
	Dialect   Dialect
	Transport *http.Transport
	Patience  Patience // of requests for new connections
}

// NewRelay returns a Relay with a connection pool for each backend server.
func NewRelay(n *node.Node, dialect Dialect) *Relay {
	const idlePerHost = 64
	return &Relay{
		Node:    n,
		Dialect: dialect,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: mostPatience}).DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
	}
}

// inbound is a caller's request while it is served.
type inbound struct {
	relay    *Relay
	writer   http.ResponseWriter
	request  *http.Request
	base     context.Context // ends when the work is to be cancelled
	view     *reducer.View
	service  *document.Service
	rule     document.Rule
	route    *document.Route // nil for a request found by a service's hosts and rules
	target   time.Time       // an answer after it has lost most of its value
	id       string
	deadline time.Time
	began    time.Time
	prefix   []byte // first bytes of the body
	rest     io.Reader
	whole    bool // prefix is the whole body
	exchange *node.Exchange
	outcome  string // for the metrics
	server   string
	domain   string
	status   int
	sent     bool // something went to a server
}

// ServeHTTP implements http.Handler.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := &inbound{
		relay:   l,
		writer:  w,
		request: r,
		view:    l.Node.View(),
		began:   l.Node.Clock.Now(),
	}
	in.name()
	if !in.recognise() || !in.readBody() {
		in.logEnd()
		return
	}
	in.base = r.Context()
	if in.rule.Once {
		// The operation goes on when its caller hangs up, so that its outcome
		// is known to the resend.
		in.base = context.WithoutCancel(in.base)
	}
	ctx, cancel := context.WithDeadline(in.base, in.deadline)
	defer cancel()
	in.limitTime()
	in.serve(ctx)
	in.count()
	in.logEnd()
}

// name takes the caller's id of the attempt, or makes one.
func (in *inbound) name() {
	if header := in.relay.Dialect.RequestIDHeader; header != "" {
		in.id = in.request.Header.Get(header)
	}
	if in.id == "" {
		in.id = uuid.NewString()
	}
	in.writer.Header().Set(in.relay.Dialect.answerID(), in.id)
}

// limitTime keeps slow callers from holding a connection for ever.
func (in *inbound) limitTime() {
	control := http.NewResponseController(in.writer)
	control.SetReadDeadline(in.deadline.Add(readGrace))
	control.SetWriteDeadline(in.deadline.Add(writeGrace))
}

// IsForService reports whether the request is for a service and not for the
// system itself.
func (l *Relay) IsForService(r *http.Request) bool {
	if r.Header.Get(problem.HeaderService) != "" {
		return true
	}
	view := l.Node.View()
	if view == nil || view.Document == nil {
		return false
	}
	return view.Document.Routes.Serves(r.Host) || view.Document.Services.ByHost(r.Host) != nil
}

func (in *inbound) refuse(status int, reason, detail string, retryAfter time.Duration) {
	in.outcome = reason
	problem.Write(in.writer, problem.Problem{
		Status:               status,
		Reason:               reason,
		Detail:               detail,
		Run:                  string(relay.RunNo),
		RetryAfter:           retryAfter,
		FractionalRetryAfter: in.relay.Dialect.FractionalRetryAfter,
	})
	in.status = status
}

func (in *inbound) relayRequest() *relay.Request {
	fingerprint := in.digest()
	request := &relay.Request{
		ID:           in.id,
		Service:      in.service.Name,
		Rank:         in.rankNumber(),
		Once:         in.rule.Once,
		Digest:       fingerprint,
		Fingerprint:  fingerprint,
		Deadline:     in.deadline,
		ClaimLease:   in.deadline.Sub(in.began) + holdAfterDeadline,
		KeyRetention: in.service.Keep.Std(),
		Holder:       in.relay.Node.Settings.ID,
		Replayable:   in.whole,
		Route:        in.route,
		TargetTime:   in.target,
	}
	if in.route != nil && in.route.Affinity {
		request.Object = in.request.Header.Get(in.relay.Dialect.ObjectHeader)
	}
	if in.rule.Once {
		request.Key = ledger.Key{Service: in.service.Name, Key: in.request.Header.Get(problem.HeaderIdempotencyKey)}
	}
	return request
}

func (in *inbound) digest() uint64 {
	digest := xxhash.New()
	for _, part := range []string{in.service.Name, in.request.Method, in.request.URL.RequestURI()} {
		io.WriteString(digest, part)
		digest.Write([]byte{0})
	}
	digest.Write(in.prefix)
	return digest.Sum64()
}

func (in *inbound) rankNumber() int {
	for i, rank := range in.view.Ranks {
		if rank.Name == in.rule.Rank {
			return i
		}
	}
	return len(in.view.Ranks) - 1
}

// foreign reports whether the client's block is placed in another failure
// domain; addresses outside all blocks are at home everywhere.
func (in *inbound) foreign() bool {
	if in.route != nil {
		return false
	}
	client, err := clientAddress("", in.request.RemoteAddr)
	if err != nil {
		return false
	}
	return !plan.IsHome(in.view.RecentTables, in.service.Name, client, in.view.Domain)
}

// serve follows the reducer's steps until the caller has an answer.
func (in *inbound) serve(ctx context.Context) {
	exchange, step, err := in.relay.Node.BeginExchange(ctx, in.relayRequest(), in.foreign())
	in.exchange = exchange
	ended := false
	defer func() {
		if !ended {
			exchange.End(routing.ResultUnused, 0)
		}
	}()
	for err == nil {
		in.recordClaim(step)
		switch {
		case step.Claim != nil:
			step, err = exchange.Claim(ctx, step.Claim)
		case step.Wait > 0:
			step, err = exchange.Wait(ctx, step.Wait)
		case step.Ask != nil:
			step, err = exchange.RequestSlot(ctx, *step.Ask)
		case step.Send != nil:
			in.server, in.domain = step.Send.Server, step.Send.Domain
			in.sent = true
			in.countSend()
			step, err, ended = in.send(ctx, step.Send)
			if ended {
				return
			}
		case step.Replay != nil:
			in.replay(step.Replay)
			return
		default:
			in.fail(step.Refuse)
			return
		}
	}
	in.abandon(ctx)
}

// recordClaim settles or releases the claim beside the answer.
func (in *inbound) recordClaim(step relay.Step) {
	if step.Settle != nil {
		in.relay.Node.ResolveClaim(ledger.Command{Settle: step.Settle})
	}
	if step.Release != nil {
		in.relay.Node.ResolveClaim(ledger.Command{Release: step.Release})
	}
}

// abandon answers a request whose caller hung up or whose deadline passed while
// nothing was sent.
func (in *inbound) abandon(ctx context.Context) {
	if in.rule.Once {
		key := ledger.Key{Service: in.service.Name, Key: in.request.Header.Get(problem.HeaderIdempotencyKey)}
		in.relay.Node.ResolveClaim(ledger.Command{Release: &ledger.Release{Key: key, Attempt: in.id}})
	}
	if in.sent {
		in.fail(&relay.Problem{
			Status: http.StatusBadGateway,
			Reason: "stopping",
			Detail: "the VM stopped before the end of the request was known",
			Run:    relay.RunUnknown,
		})
		return
	}
	reason, detail := "deadline", "the deadline passed before a slot was free"
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason, detail = "cancelled", "the request was cancelled"
	}
	in.refuse(http.StatusServiceUnavailable, reason, detail, time.Second)
}

func (in *inbound) fail(p *relay.Problem) {
	if p == nil {
		in.refuse(http.StatusInternalServerError, "internal", "no next step", 0)
		return
	}
	in.outcome = p.Reason
	problem.Write(in.writer, problem.Problem{
		Status:               p.Status,
		Reason:               p.Reason,
		Detail:               p.Detail,
		Run:                  string(p.Run),
		RetryAfter:           p.RetryAfter,
		FractionalRetryAfter: in.relay.Dialect.FractionalRetryAfter,
	})
	in.status = p.Status
}

// logEnd writes the line with which a request ends here.
func (in *inbound) logEnd() {
	fields := []reducer.Field{
		{Name: "status", Value: int64(in.status)},
		{Name: "took", Value: in.relay.Node.Clock.Now().Sub(in.began)},
		{Name: "server", Value: in.server},
	}
	if in.route != nil {
		fields = append(fields, reducer.Field{Name: "route", Value: in.route.Name})
	}
	if in.view != nil {
		fields = append(fields, reducer.Field{Name: "document", Value: int64(in.view.Position.Index)})
	}
	outcome := in.outcome
	if outcome == "" {
		outcome = "answered"
	}
	in.relay.Node.LogDecision(reducer.Decision{Code: reducer.CodeRequestEnded, Request: in.id, Outcome: outcome, Fields: fields})
}

func (in *inbound) replay(outcome *ledger.Outcome) {
	in.outcome, in.status = "replayed", outcome.Status
	header := in.writer.Header()
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	if outcome.Location != "" {
		header.Set("Location", outcome.Location)
	}
	header.Set("Heatherwood-Replayed", "true")
	in.writer.WriteHeader(outcome.Status)
	in.writer.Write(outcome.Body)
}

// countSend tallies a request that leaves for a server.
func (in *inbound) countSend() {
	in.relay.Node.CountRequest(node.RequestCountKey{
		Service:       in.service.Name,
		Rank:          in.rule.Rank,
		DocumentIndex: in.view.Position.Index,
		ServerDomain:  in.domain,
		Server:        in.server,
		Outcome:       "sent",
	})
}

func (in *inbound) count() {
	if in.outcome == "" {
		in.outcome = "answered"
	}
	took := in.relay.Node.Clock.Now().Sub(in.began)
	in.relay.Node.Metrics.CountRequest(in.service.Name, in.rule.Rank, in.outcome, took)
	in.relay.Node.CountRequest(node.RequestCountKey{
		Service:       in.service.Name,
		Rank:          in.rule.Rank,
		DocumentIndex: in.view.Position.Index,
		ServerDomain:  in.domain,
		Outcome:       in.outcome,
	})
}

// body returns a reader over the request's body that hides its type: net/http
// then never sends a request a second time on its own.
func (in *inbound) body() io.ReadCloser {
	if in.whole {
		return io.NopCloser(struct{ io.Reader }{bytes.NewReader(in.prefix)})
	}
	return io.NopCloser(struct{ io.Reader }{io.MultiReader(bytes.NewReader(in.prefix), in.rest)})
}

// hopHeaders are meant for one connection only and not relayed.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, listed := range from.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}
