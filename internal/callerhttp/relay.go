package callerhttp

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/heatherwood/heatherwood/internal/intake"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Limits on what a caller may send, and times around a request's deadline.
const (
	bodyPrefixBytes    = 64 << 10  // of a body, kept for retries
	maxOnceBodyBytes   = 1 << 20   // of the body of a `once` request
	maxBodyBytes       = 256 << 20 // of any body, also of an answer: a faulty server may send one without end
	maxTimeout         = 10 * time.Minute
	claimLeaseMargin   = 5 * time.Second        // a claim's lease ends so long after the request's deadline
	writeMargin        = 30 * time.Second       // after the deadline, for a slow caller to take the answer
	readMargin         = time.Second            // after the deadline, so that the deadline ends the request, and not a failed read
	freeBytes          = 4 << 10                // of each body and answer, that count in no budget
	sendBufferBytes    = 32 << 10               // that net/http takes to send a body on that is not kept whole
	bodiesFullRetry    = time.Second            // within it, some of the bodies that are held have gone
	outdatedRetryDelay = 300 * time.Millisecond // within it, a VM usually has the newer document that it knows of
	maxLoggedBytes     = 128                    // of a host or path
	startupRetryDelay  = time.Second            // within it, a control quorum forms and its document reaches the VMs
)

// Relay answers callers' requests from backend servers.
type Relay struct {
	Node           *node.Node
	Dialect        Dialect
	Transport      *http.Transport
	ConnectTimeout ConnectTimeout // of sends that need a new connection

	peers              *http.Transport // to other VMs that serve requests for this one
	peerConnectTimeout ConnectTimeout
	watcher            watcher
	contacts           *contacts      // to servers
	bodies, answers    *intake.Budget // bytes that all requests hold of theirs
	link               *linkShare     // of downloads
	serving            atomic.Int64   // requests
	refusalLines       lineLimit      // of requests without a known key
}

// NewRelay returns a Relay with a connection pool for each backend server.
func NewRelay(n *node.Node, dialect Dialect) *Relay {
	const idlePerHost = 64
	var l *Relay
	l = &Relay{
		Node:    n,
		Dialect: dialect,
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return l.dialServer(ctx, address)
			},
			MaxIdleConnsPerHost:    idlePerHost,
			IdleConnTimeout:        90 * time.Second,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeadBytes,
		},
		bodies:  n.NewBudget("bodies", maxOnceBodyBytes, freeBytes),
		answers: n.NewBudget("answers", bufferedAnswerBytes, freeBytes),
		link:    newLinkShare(n.Clock, n.Settings.LinkMegabits),
		peers:   newPeerTransport(n, idlePerHost),
		watcher: watcher{clock: n.Clock, callers: make(map[*callerWatch]struct{})},

		refusalLines: lineLimit{clock: n.Clock},
	}
	l.contacts = newContacts(n.Clock, func(address, why string) {
		n.Apply(reducer.ContactLost{Address: address, Why: why, Renewed: why == whyNoneOpen})
	})
	n.ProbeServer, n.AskServer, n.OpenContacts = l.probeServer, l.askServer, l.contacts.alive
	return l
}

// inbound is a caller's request while this VM serves it.
type inbound struct {
	relay       *Relay
	writer      http.ResponseWriter
	request     *http.Request
	baseContext context.Context // cancelled when the work should end early
	view        *reducer.View
	service     *document.Service
	rule        document.Rule
	route       *document.Route // nil for a request found by a service's hosts and rules
	targetTime  time.Time       // after it, an answer has lost most of its value
	id          string
	deadline    time.Time
	receivedAt  time.Time // when it arrived, as far as the kernel tells
	body        inboundBody
	exchange    *node.Exchange
	stalled     *stalledSend // whose way was lost, beside the present step; nil for none
	outcome     string       // for metrics, audit trail and log
	server      string       // of the last send
	domain      string       // of that server
	status      int          // answered to the caller
	anySend     bool         // the request was sent to a server
	sends       []endedSend  // to servers and other VMs
	decided     decider      // whose decision the answer is
	detour      *detourInfo  // nil for a request that the caller sent to this VM
	caller      callerWatch
	shares      []*intake.Share // of what the request holds, until its end
	sharesMutex sync.Mutex      // guards shares: two tries of a request may read their answers at a time

	identity     identity
	unidentified bool // refused for want of a known key
}

// ServeHTTP implements http.Handler.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.serve(w, r, nil) }

// serve answers a request; d tells of the VM that passed it on, if the caller did not send it
// to this one.
func (l *Relay) serve(w http.ResponseWriter, r *http.Request, d *detourInfo) {
	l.serving.Add(1)
	defer l.serving.Add(-1)
	in := &inbound{
		relay:      l,
		writer:     w,
		request:    r,
		view:       l.Node.View(),
		receivedAt: l.Node.Clock.Now(),
		detour:     d,
		decided:    decidedHere,
	}
	defer in.releaseShares()
	defer in.finishBody()
	in.assignID()
	in.markAnswer(problem.DetourAnswerVM)
	in.lookForCaller()
	in.caller.enter(stageBody)
	if !in.fitsDetour() || !in.matchRequest() || !in.readBody() {
		if in.unidentified {
			in.logRefusal()
		} else {
			in.logEnd()
		}
		return
	}
	defer in.beginWork()()
	ctx, cancel := context.WithDeadline(in.baseContext, in.deadline)
	defer cancel()
	in.setConnDeadlines()
	in.callerLeft()
	if ctx.Err() != nil {
		in.refuseAborted(ctx)
	} else {
		in.runSteps(ctx)
	}
	in.recordMetrics()
	in.logEnd()
}

func (in *inbound) releaseShares() {
	for _, share := range in.shares {
		share.Release()
	}
}

const idleCheckInterval = 20 * time.Millisecond

// closeTime is how long a server whose listener is closed waits for the request of a new connection.
const closeTime = 200 * time.Millisecond

// FinishServing ends the server of a listener for callers, once it serves no request and has
// delivered its answers, or the context ends. No more connections are accepted; requests that
// still come on open ones are left to the handler, which refuses them when the VM stops.
// http.Server.Shutdown alone would read them and close the connection, which tells a caller
// nothing.
func (l *Relay) FinishServing(ctx context.Context, server *http.Server, listener net.Listener, guard *Guard) {
	guard.DisableKeepAlives(server)
	if err := listener.Close(); err != nil {
		l.Node.LogError(reducer.CodeListenerFailed, err)
	}
	l.awaitAnswers(ctx, guard)
	if count := l.serving.Load(); count > 0 {
		l.Node.LogError(reducer.CodeRequestsCutOff, fmt.Errorf("%d requests still ran: %w", count, ctx.Err()))
		l.watcher.logCutOff()
	}
	l.awaitFirstRequests(ctx, guard)
	guard.closeIdle()
	l.awaitAnswers(ctx, guard)
	if err := server.Close(); err != nil {
		l.Node.LogError(reducer.CodeListenerFailed, err)
	}
	guard.AwaitDelivery(ctx)
}

// awaitFirstRequests gives the requests of new connections, of which none has come yet, a short time to
// arrive.
func (l *Relay) awaitFirstRequests(ctx context.Context, guard *Guard) {
	end := l.Node.Clock.Now().Add(closeTime)
	for ctx.Err() == nil && !guard.isEmpty() && l.Node.Clock.Now().Before(end) {
		select {
		case <-ctx.Done():
		case <-l.Node.Clock.After(idleCheckInterval):
		}
	}
}

// stopAnswerTime is how long before the end of a stop the requests without an answer are given one:
// a caller that is told can go elsewhere, one whose connection ends may have to wait for its kernel.
const stopAnswerTime = 300 * time.Millisecond

// awaitAnswers waits until no request is served or the context ends. The connection of a request
// is written to for some time after its handler has returned.
func (l *Relay) awaitAnswers(ctx context.Context, guard *Guard) {
	end, bounded := ctx.Deadline()
	for ctx.Err() == nil && (l.serving.Load() > 0 || guard.countServing() > 0) {
		if bounded && l.Node.Clock.Now().Add(stopAnswerTime).After(end) {
			l.watcher.endUnanswered()
		}
		select {
		case <-ctx.Done():
		case <-l.Node.Clock.After(idleCheckInterval):
		}
	}
}

// assignID takes the caller's id of the request, or makes one.
func (in *inbound) assignID() {
	if header := in.relay.Dialect.RequestIDHeader; header != "" {
		in.id = in.request.Header.Get(header)
	}
	if in.detour != nil {
		in.id = in.request.Header.Get(in.relay.Dialect.answerIDHeader())
	}
	if in.id == "" {
		in.id = uuid.NewString()
	}
	in.writer.Header().Set(in.relay.Dialect.answerIDHeader(), in.id)
}

// setConnDeadlines keeps slow callers from holding their connection indefinitely.
func (in *inbound) setConnDeadlines() {
	control := http.NewResponseController(in.writer)
	control.SetReadDeadline(in.deadline.Add(readMargin))
	control.SetWriteDeadline(in.deadline.Add(writeMargin))
}

// IsForService reports whether the request is for a service and not for
// heatherwood itself.
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
		FractionalRetryAfter: in.relay.Dialect.FractionalRetryAfter || in.detour != nil,
	})
	in.status = status
}

// newRelayRequest returns the request as the reducer takes it.
func (in *inbound) newRelayRequest() *relay.Request {
	digest := in.digest()
	request := &relay.Request{
		ID:           in.id,
		Service:      in.service.Name,
		Rank:         in.rankIndex(),
		Once:         in.rule.Once,
		Digest:       in.claimDigest(digest),
		Fingerprint:  in.fingerprint(digest),
		Deadline:     in.deadline,
		ClaimLease:   in.deadline.Sub(in.receivedAt) + claimLeaseMargin,
		KeyRetention: in.service.Keep.Std(),
		Holder:       in.relay.Node.Settings.ID,
		Replayable:   in.body.complete(),
		BodyBytes:    len(in.body.prefix),
		Route:        in.route,
		Host:         in.request.Host,
		Path:         routePath(in.request.URL),
		TargetTime:   in.targetTime,
		Customer:     in.identity.customer,
		KeyDigest:    in.identity.key,
	}
	if in.detour != nil {
		request.TakenOver, request.EarlierRuns = true, in.detour.runs
	}
	if in.route != nil && in.route.Affinity {
		request.Object = in.request.Header.Get(in.relay.Dialect.ObjectHeader)
	}
	if in.rule.Once {
		request.Key = ledger.Key{Service: in.service.Name, Key: in.request.Header.Get(problem.HeaderIdempotencyKey)}
	}
	return request
}

// fingerprint returns what identifies the request in the quarantine table. Hosts share
// servers and may share paths, so the host of a route is part of it.
func (in *inbound) fingerprint(digest uint64) uint64 {
	if in.route == nil {
		return digest
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(strings.ToLower(in.route.Host)), digest))
}

// digest returns the hash of service, method, URI and the body's first bytes.
func (in *inbound) digest() uint64 {
	hash := xxhash.New()
	for _, part := range []string{in.service.Name, in.request.Method, in.request.URL.RequestURI()} {
		io.WriteString(hash, part)
		hash.Write([]byte{0})
	}
	hash.Write(in.body.prefix)
	return hash.Sum64()
}

// rankIndex returns the index of the rule's rank in the view, or the last index if
// the view lacks the rank.
func (in *inbound) rankIndex() int {
	for i, rank := range in.view.Ranks {
		if rank.Name == in.rule.Rank {
			return i
		}
	}
	return len(in.view.Ranks) - 1
}

// placedElsewhere reports whether the client's address block is placed in another
// failure domain; an address outside all blocks counts as placed in every domain.
func (in *inbound) placedElsewhere() bool {
	if in.route != nil || in.detour != nil {
		return false
	}
	client, err := clientAddress("", in.request.RemoteAddr)
	if err != nil {
		return false
	}
	return !plan.IsHome(in.view.RecentTables, in.service.Name, client, in.view.Domain)
}

// runSteps performs the steps that the reducer returns until the caller has an answer.
func (in *inbound) runSteps(ctx context.Context) {
	in.caller.enter(stageTurn)
	exchange, step, err := in.relay.Node.BeginExchange(ctx, reducer.RequestBegan{
		Request:           in.newRelayRequest(),
		AssignedElsewhere: in.placedElsewhere(),
		From:              in.detour.sender(),
	})
	in.exchange = exchange
	ended := false
	defer func() {
		if !ended {
			exchange.End(routing.ResultUnused, 0)
		}
	}()
	defer in.endStalled()
	for err == nil {
		in.caller.enter(stageTurn)
		in.recordClaim(step)
		steps := in.contextOfSteps(ctx)
		switch {
		case step.Claim != nil:
			step, err = exchange.Claim(steps, step.Claim)
		case step.Wait > 0:
			step, err = exchange.Wait(steps, step.Wait)
		case step.SlotRequest != nil:
			step, err = exchange.RequestSlot(steps, *step.SlotRequest)
		case step.Send != nil:
			in.server, in.domain = step.Send.Server, step.Send.Domain
			in.anySend = true
			in.countSend()
			step, err, ended = in.send(steps, step.Send)
			if ended {
				return
			}
		case step.Detour != nil:
			in.anySend, in.server, in.domain = true, "", step.Detour.Domain
			step, err, ended = in.sendDetour(steps, *step.Detour)
			if ended {
				return
			}
		case step.AwaitStalled:
			step, err, ended = in.awaitStalled(ctx)
			if ended {
				return
			}
		case step.Replay != nil:
			in.replay(step.Replay)
			return
		default:
			in.refuseProblem(step.Refuse)
			return
		}
		if err != nil && in.stalledWon() {
			if step, err, ended = in.useStalled(ctx); ended {
				return
			}
		}
	}
	in.refuseAborted(ctx)
}

// contextOfSteps returns the context of the next step, which a stalled send may end.
func (in *inbound) contextOfSteps(ctx context.Context) context.Context {
	if in.stalled == nil {
		return ctx
	}
	return in.stalled.others
}

// recordClaim settles or releases the claim, without waiting for the log.
func (in *inbound) recordClaim(step relay.Step) {
	if step.Settle != nil {
		in.relay.Node.ResolveClaim(ledger.Command{Settle: step.Settle})
	}
	if step.Release != nil {
		in.relay.Node.ResolveClaim(ledger.Command{Release: step.Release})
	}
}

// refuseAborted answers a request whose steps ended early: its caller hung up, its
// deadline passed, or the VM stopped.
func (in *inbound) refuseAborted(ctx context.Context) {
	reason, detail := relay.ReasonStopping, "the VM stopped"
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason, detail = "deadline", "the deadline passed"
	case errors.Is(context.Cause(ctx), errStopping):
	case ctx.Err() != nil:
		reason, detail = "cancelled", "the caller hung up"
	}
	// The VM that passed a request on continues with its claim when this one stops.
	if continues := in.detour != nil && !in.anySend && reason == relay.ReasonStopping; !continues {
		in.resolveAborted()
	}
	if in.anySend {
		status := http.StatusBadGateway
		if reason == "deadline" {
			status = http.StatusGatewayTimeout
		}
		in.refuseProblem(&relay.Problem{Status: status, Reason: reason, Detail: detail + " before the end of the request was known", Run: relay.RunUnknown})
		return
	}
	detail += " before a slot was free"
	in.refuse(http.StatusServiceUnavailable, reason, detail, time.Second)
}

// resolveAborted gives back the claim of a `once` request that was not sent to any
// server; the outcome of one that was sent is unknown.
func (in *inbound) resolveAborted() {
	if !in.rule.Once {
		return
	}
	key := ledger.Key{Service: in.service.Name, Key: in.request.Header.Get(problem.HeaderIdempotencyKey)}
	command := ledger.Command{Release: &ledger.Release{Key: key, Attempt: in.id}}
	if in.anySend {
		command = ledger.Command{Settle: &ledger.Settle{Key: key, Attempt: in.id, Outcome: ledger.Outcome{Unknown: true}}}
	}
	in.relay.Node.ResolveClaim(command)
}

func (in *inbound) refuseProblem(p *relay.Problem) {
	if p == nil {
		in.refuse(http.StatusInternalServerError, "internal", "no next step", 0)
		return
	}
	in.outcome = p.Reason
	if p.DecidedBy != "" {
		in.decided = decidedByVM
	}
	problem.Write(in.writer, problem.Problem{
		Status:               p.Status,
		Reason:               p.Reason,
		Detail:               p.Detail,
		Run:                  string(p.Run),
		RetryAfter:           p.RetryAfter,
		FractionalRetryAfter: in.relay.Dialect.FractionalRetryAfter || in.detour != nil,
	})
	in.status = p.Status
}

// logEnd logs the end of the request on this VM, with more fields if any are given.
func (in *inbound) logEnd(more ...reducer.Field) {
	in.logLeft()
	fields := []reducer.Field{
		{Name: "status", Value: int64(in.status)},
		{Name: "took", Value: in.relay.Node.Clock.Now().Sub(in.receivedAt)},
		{Name: "server", Value: in.server},
	}
	if in.route != nil {
		fields = append(fields, reducer.Field{Name: "route", Value: in.route.Name})
	}
	if in.service == nil {
		fields = append(fields,
			reducer.Field{Name: "host", Value: truncate(in.request.Host)},
			reducer.Field{Name: "path", Value: truncate(in.request.URL.Path)})
	}
	if in.view != nil {
		fields = append(fields, reducer.Field{Name: "document", Value: int64(in.view.Position.Index)})
	}
	fields = append(fields, in.identityFields()...)
	fields = append(fields, in.promiseFields()...)
	fields = append(fields, more...)
	outcome := in.outcome
	if outcome == "" {
		outcome = "answered"
	}
	in.relay.Node.LogDecision(reducer.Decision{Code: reducer.CodeRequestEnded, Request: in.id, Outcome: outcome, Fields: fields})
}

// truncate returns the first maxLoggedBytes of a text from a caller.
func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }

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
	if len(outcome.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(outcome.Body))) // so that no caller takes a part of it for all
	}
	in.markAnswer(problem.DetourAnswerServer)
	in.writer.WriteHeader(outcome.Status)
	in.writer.Write(outcome.Body)
}

// countSend counts a send in the audit trail's request counts.
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

// recordMetrics counts the answered request in the metrics and in the audit trail's
// request counts.
func (in *inbound) recordMetrics() {
	if in.outcome == "" {
		in.outcome = "answered"
	}
	took := in.relay.Node.Clock.Now().Sub(in.receivedAt)
	in.relay.Node.Metrics.CountRequest(in.service.Name, in.rule.Rank, in.outcome, took)
	in.relay.Node.CountRequest(node.RequestCountKey{
		Service:       in.service.Name,
		Rank:          in.rule.Rank,
		DocumentIndex: in.view.Position.Index,
		ServerDomain:  in.domain,
		Outcome:       in.outcome,
	})
}

// hopByHopHeaders concern one connection only and are not relayed.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies all headers except hopByHopHeaders and those that the
// Connection header lists.
func copyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, connectionValue := range from.Values("Connection") {
		for _, name := range strings.Split(connectionValue, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
