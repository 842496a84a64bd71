package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
)

// Limits of the connections on which VMs pass requests on. A VM that needs them keeps them for
// a short time only, so that few grow old enough to be dropped on the way without a word.
const (
	peerIdleTimeout       = 10 * time.Second
	peerServerIdleTimeout = 2 * peerIdleTimeout // longer than the other end keeps a connection
	peerHeaderTimeout     = 5 * time.Second
	peerMaxHeader         = 128 << 10 // bytes; above that of a caller's request
	maxProblemBytes       = 64 << 10
)

func newPeerTransport(n *node.Node, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, maxConnectTimeout)
			defer cancel()
			return newServerConn(n.Network.DialForward(ctx, address))
		},
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        peerIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}
}

// CloseIdleConnections closes the connections to servers and other VMs that no request uses.
func (l *Relay) CloseIdleConnections() {
	l.Transport.CloseIdleConnections()
	l.peers.CloseIdleConnections()
}

type openOnlyKey struct{}

var errOpenOnly = errors.New("no idle connection to the server, and no new one can be opened")

// withOpenOnly returns a context whose sends fail without an idle connection, if openOnly is
// set.
func withOpenOnly(ctx context.Context, openOnly bool) context.Context {
	if !openOnly {
		return ctx
	}
	return context.WithValue(ctx, openOnlyKey{}, true)
}

func isOpenOnly(ctx context.Context) bool { return ctx.Value(openOnlyKey{}) != nil }

// probeServer opens a connection to a server and closes it; it returns how that failed, or "".
func (l *Relay) probeServer(address string) reach.Failure {
	ctx, end := l.withConnectTimeout(context.Background(), l.ConnectTimeout.Current())
	defer end()
	conn, err := l.Node.DialServer(ctx, address)
	switch {
	case err == nil:
		conn.Close()
		return ""
	case ctx.Err() != nil:
		return reach.Late
	default:
		return reach.Refused
	}
}

// detourInfo is what the VM that passed a request on says about it.
type detourInfo struct {
	from     string // VM
	runs     int    // sends that may have run
	document uint64 // log index of its document
	identity identity
}

func (d *detourInfo) sender() string {
	if d == nil {
		return ""
	}
	return d.from
}

// PeerServer returns the server of the requests that other VMs pass on to this one; it serves
// on the node's RequestListener.
func (l *Relay) PeerServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(l.servePeer),
		ConnContext:       ConnContext,
		ConnState:         TrackIdle,
		MaxHeaderBytes:    peerMaxHeader,
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerServerIdleTimeout,
	}
}

func (l *Relay) servePeer(w http.ResponseWriter, r *http.Request) {
	runs, runsErr := strconv.Atoi(r.Header.Get(problem.HeaderDetourRuns))
	index, indexErr := strconv.ParseUint(r.Header.Get(problem.HeaderDetourDocument), 10, 64)
	from := r.Header.Get(problem.HeaderDetourFrom)
	who, identityErr := parseDetourIdentity(r.Header)
	if err := errors.Join(runsErr, indexErr, identityErr); err != nil {
		l.Node.LogError(reducer.CodePeerRefused, fmt.Errorf("request passed on by %s: %w", from, err))
		w.Header().Set(problem.HeaderDetourAnswer, problem.DetourAnswerVM)
		problem.Write(w, problem.Problem{Status: http.StatusBadRequest, Reason: "bad-detour", Detail: err.Error(), Run: string(relay.RunNo)})
		return
	}
	for _, name := range detourHeaders {
		r.Header.Del(name)
	}
	l.serve(w, r, &detourInfo{from: from, runs: runs, document: index, identity: who})
}

var detourHeaders = []string{problem.HeaderDetourFrom, problem.HeaderDetourRuns, problem.HeaderDetourDocument, problem.HeaderDetourCustomer, problem.HeaderDetourKey}

// markAnswer tells the VM that passed the request on whose answer it gets.
func (in *inbound) markAnswer(whose string) {
	if in.detour != nil {
		in.writer.Header().Set(problem.HeaderDetourAnswer, whose)
	}
}

// fitsDetour refuses a request that another VM passed on by a newer document than the one in
// force here, and returns false.
func (in *inbound) fitsDetour() bool {
	if in.detour == nil || in.view == nil || in.detour.document <= in.view.Position.Index {
		return true
	}
	in.refuse(http.StatusServiceUnavailable, relay.ReasonDocumentOutdated, "a newer steering document is not in force here yet", outdatedRetryDelay)
	return false
}

// sendDetour passes the request on to another VM. It returns the next step, or true once the
// caller has been answered.
func (in *inbound) sendDetour(ctx context.Context, to relay.Detour) (relay.Step, error, bool) {
	sentAt := in.relay.Node.Clock.Now()
	request := in.outbound(ctx, to.Peer, to.VM)
	request.Header.Set(problem.HeaderDetourFrom, in.relay.Node.Settings.ID)
	request.Header.Set(problem.HeaderDetourRuns, strconv.Itoa(to.Runs))
	request.Header.Set(problem.HeaderDetourDocument, strconv.FormatUint(in.view.Position.Index, 10))
	in.setDetourIdentity(request.Header)
	sent := in.roundTrip(ctx, in.relay.peers, in.newConnectAttempt(&in.relay.peerConnectTimeout, in.mayWrite), request)
	report := reducer.RequestDetoured{Cause: sent.Cause}
	report.Result, report.Evidence = sent.Result, sent.Evidence
	response := sent.response
	switch {
	case response == nil:
	case response.Header.Get(problem.HeaderDetourAnswer) == problem.DetourAnswerVM:
		report.DetourResult = readRefusal(response, to.VM)
		response = nil
	case in.relay.Dialect.isForeign(response, in.id):
		sent.dropForeign()
		report.Result, report.Cause, report.Evidence = sent.Result, sent.Cause, sent.Evidence
		response = nil
	case in.route != nil:
		if report.Result, report.Cause = in.bufferAnswer(ctx, response, report.Result); report.Result != sent.Result {
			response.Body.Close()
			response, report.Evidence = nil, relay.EvidenceWritten
		}
	}
	if response != nil {
		report.Status = response.StatusCode
	}
	in.noteSend(to.VM, report.Evidence)
	if in.stalledWon() && report.Result != routing.ResultOK {
		if response != nil {
			response.Body.Close()
		}
		return in.useStalled(ctx)
	}
	report.BodyUsed = in.body.used()
	report.Latency = in.relay.Node.Clock.Now().Sub(sentAt)
	in.relay.Node.Metrics.CountDetour(report.Result.String(), report.Latency)
	step, err := in.exchange.ReportDetour(context.WithoutCancel(ctx), report)
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
	in.outcome = "passed-on"
	response.Header.Del(problem.HeaderDetourAnswer)
	in.stream(response, report.Result, report.Latency)
	return relay.Step{}, nil, true
}

// readRefusal reads the problem document with which another VM refused a request.
func readRefusal(response *http.Response, vm string) relay.DetourResult {
	defer response.Body.Close()
	var document problem.Problem
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&document); err != nil {
		return relay.DetourResult{Result: routing.ResultBroken, Evidence: relay.EvidenceWritten}
	}
	refusal := &relay.Problem{
		Status:     response.StatusCode,
		Reason:     document.Reason,
		Detail:     document.Detail,
		Run:        relay.RunState(document.Run),
		RetryAfter: parseRetryAfter(response.Header.Get("Retry-After")),
		DecidedBy:  vm,
	}
	evidence := relay.EvidenceAnswered
	if refusal.Run == relay.RunNo {
		evidence = relay.EvidenceStated
	}
	return relay.DetourResult{Result: routing.ResultShed, Refusal: refusal, Evidence: evidence}
}
