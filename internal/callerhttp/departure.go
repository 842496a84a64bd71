package callerhttp

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/tcp"
)

// stage is what a request waits for, as the log and the metrics name it.
type stage string

const (
	stageUnread  stage = "unread"  // to be read by this VM
	stageBody    stage = "body"    // for the rest of its body
	stageTurn    stage = "turn"    // for a claim, a slot or a retry
	stageConnect stage = "connect" // for a connection to a server or another VM
	stageServer  stage = "server"  // for an answer
	stageAnswer  stage = "answer"  // for the caller to take the answer
)

type connKey struct{}

// callerConn is a connection on which requests come.
type callerConn struct {
	tcp.Socket
	conn net.Conn
}

// ConnContext keeps a caller's connection in the context of its requests; it is the ConnContext
// of the servers whose requests a Relay handles.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, callerConn{Socket: tcp.SocketOf(conn), conn: conn})
}

// isRead reports whether net/http waits for bytes of the connection, and so will find its end.
func (c callerConn) isRead() bool {
	guarded, ok := c.conn.(*guardedConn)
	return ok && guarded.reading.Load()
}

// callerWatch knows what a request waits for and whether its caller has left.
type callerWatch struct {
	id     string // of the request
	conn   callerConn
	node   *node.Node
	unread time.Duration // from the arrival of the request, or of what followed it, until it was read

	mutex     sync.Mutex
	stage     stage
	leftWhile stage  // stage at which the caller was found to have left; empty while it waits
	onLeft    func() // ends the work; nil for work that goes on without its caller
	onStop    func() // ends the work because the VM stops
}

// enter records what the request waits for now.
func (w *callerWatch) enter(s stage) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stage = s
}

// noteLeft records that the caller has left, and ends the work if it is only for this caller.
func (w *callerWatch) noteLeft() {
	w.mutex.Lock()
	if w.leftWhile == "" {
		w.leftWhile = w.stage
	}
	onLeft := w.onLeft
	w.mutex.Unlock()
	if onLeft != nil {
		onLeft()
	}
}

// lookForCaller records how long the request was unread, and whether its caller has left already.
// The request's time counts from its arrival, as its caller's does.
func (in *inbound) lookForCaller() {
	in.caller.conn, _ = in.request.Context().Value(connKey{}).(callerConn)
	in.caller.id, in.caller.node, in.caller.stage = in.id, in.relay.Node, stageUnread
	var err error
	if in.caller.unread, err = in.caller.conn.SinceData(); err != nil {
		in.relay.Node.LogError(reducer.CodePanicRecovered, err)
	}
	in.receivedAt = in.receivedAt.Add(-in.caller.unread)
	in.relay.Node.Metrics.UnreadSeconds.Update(in.caller.unread.Seconds())
	in.callerLeft()
}

// Causes of the early end of work.
var (
	errCallerLeft = errors.New("the caller left")
	errStopping   = errors.New("the VM stops")
)

// beginWork sets the context of the work, and returns what ends it. The work ends early when the
// caller is found to have left, here or by the watcher. A keyed operation goes on when
// its caller leaves, so that its outcome is known when the caller asks again.
func (in *inbound) beginWork() context.CancelFunc {
	parent := in.request.Context()
	if in.rule.Once {
		parent = context.WithoutCancel(parent)
	}
	base, cancel := context.WithCancelCause(parent)
	in.baseContext = base
	in.caller.mutex.Lock()
	if !in.rule.Once {
		in.caller.onLeft = func() { cancel(errCallerLeft) }
	}
	in.caller.onStop = func() { cancel(errStopping) }
	in.caller.mutex.Unlock()
	in.relay.watcher.add(&in.caller)
	return func() {
		in.relay.watcher.remove(&in.caller)
		cancel(nil)
	}
}

// mayWrite reports whether the request may still be written to another VM. net/http looks for the end
// of the caller's connection beside the handler: on a VM that lacked the processor, the handler can
// be first.
func (in *inbound) mayWrite() bool { return in.rule.Once || !in.callerLeft() }

// mayWriteToServer is mayWrite for a server; another VM checks the key itself.
func (in *inbound) mayWriteToServer() bool { return !in.isRevoked() && in.mayWrite() }

// callerLeft reports whether the caller has left, whether or not net/http has found out.
func (in *inbound) callerLeft() bool {
	if in.request.Context().Err() != nil {
		in.caller.noteLeft()
		return true
	}
	return in.caller.look()
}

// look reports whether the kernel knows that the caller has left.
func (w *callerWatch) look() bool {
	closed, err := w.conn.PeerClosed()
	if err != nil {
		w.node.LogError(reducer.CodePanicRecovered, err)
	}
	if closed {
		w.noteLeft()
	}
	return closed
}

// watchInterval is the time between two looks at connections that net/http does not read from;
// servers may work on for half a second after a caller has left.
const watchInterval = 200 * time.Millisecond

// watcher looks for callers that leave while net/http does not read from their connections:
// because a part of the body, or the start of the next request, is in the way.
type watcher struct {
	clock clock.Clock

	mutex   sync.Mutex
	callers map[*callerWatch]struct{}
	running bool
}

func (w *watcher) add(c *callerWatch) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.callers[c] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

func (w *watcher) remove(c *callerWatch) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.callers, c)
}

// endUnanswered ends the work on requests to whose callers no answer is on its way.
func (w *watcher) endUnanswered() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for c := range w.callers {
		c.mutex.Lock()
		if c.stage != stageAnswer {
			c.onStop()
		}
		c.mutex.Unlock()
	}
}

// logCutOff logs what each request that outlasts the stop waits for.
func (w *watcher) logCutOff() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for c := range w.callers {
		c.mutex.Lock()
		c.node.LogDecision(reducer.Decision{Code: reducer.CodeRequestsCutOff, Request: c.id, Outcome: string(c.stage)})
		c.mutex.Unlock()
	}
}

// run looks at all callers at each interval, until there are none.
func (w *watcher) run() {
	for {
		<-w.clock.After(watchInterval)
		for _, c := range w.unreadCallers() {
			c.look()
		}
		w.mutex.Lock()
		if len(w.callers) == 0 {
			w.running = false
			w.mutex.Unlock()
			return
		}
		w.mutex.Unlock()
	}
}

// unreadCallers returns the callers whose connections net/http does not read from.
func (w *watcher) unreadCallers() []*callerWatch {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*callerWatch
	for c := range w.callers {
		if !c.conn.isRead() {
			list = append(list, c)
		}
	}
	return list
}

// logLeft logs and counts a caller that left before the request ended.
func (in *inbound) logLeft() {
	if in.request.Context().Err() != nil {
		in.caller.noteLeft()
	}
	in.caller.mutex.Lock()
	while := in.caller.leftWhile
	in.caller.mutex.Unlock()
	if while == "" {
		return
	}
	in.relay.Node.Metrics.CountCallerLeft(string(while))
	in.relay.Node.LogDecision(reducer.Decision{Code: reducer.CodeCallerLeft, Request: in.id, Outcome: string(while), Fields: []reducer.Field{
		{Name: "unread", Value: in.caller.unread},
		{Name: "took", Value: in.relay.Node.Clock.Now().Sub(in.receivedAt) - in.caller.unread},
		{Name: "sent", Value: in.anySend},
		{Name: "server", Value: in.server},
	}})
}
