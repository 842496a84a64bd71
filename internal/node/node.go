package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/intake"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/pause"
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reach"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/internal/tcp"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Node runs one VM: it owns the reducer's state, the connections to peers and the
// files in the data folder.
type Node struct {
	Settings settings.Settings
	Clock    clock.Clock
	Logger   zerolog.Logger
	Network  *peerrpc.Network
	Orders   *intake.Budget // bytes of operators' orders
	Metrics  *Metrics

	// DialServer opens a connection to a backend server, by host:port. It is set before
	// Start.
	DialServer func(ctx context.Context, address string) (net.Conn, error)

	// ProbeServer opens a connection to a backend server, by host:port, closes it, and
	// returns how that failed, or "". It is set before Start.
	ProbeServer func(address string) reach.Failure

	// AskServer asks a backend server by a health check whether it is cold. It is set before Start.
	AskServer func(reducer.ServerQuestion) reducer.ServerAnswered

	// OpenContacts returns the addresses of the backend servers to which a connection is open that
	// was opened before a time. It is set before Start.
	OpenContacts func(before time.Time) []string

	mutex         sync.Mutex // guards state and keeps its effects in order
	state         *reducer.State
	view          atomic.Pointer[reducer.View]
	calls         pendingCalls
	pauses        pause.Detector
	proposals     sharedProposals
	logWriter     *logWriter
	loader        *documentLoader
	rosterFile    *rosterFile // nil without a data folder
	trail         *auditTrail
	requestCounts requestCounts
	drops         messageDrops
	replicaID     string // id of the control replica; empty means the VM's id
	server        *peerrpc.Server
	logFolder     *disk.Folder
	stopped       chan struct{}
	stopOnce      sync.Once
	goroutines    sync.WaitGroup
	startMutex    sync.Mutex // guards stopping, and goroutines against starts after the wait for them
	stopping      bool
	failed        chan error
}

// Subfolders of the data folder.
const (
	logFolderName   = "log"
	auditFolderName = "audit"
)

// New returns a VM that is not yet started. If the settings name a data folder,
// New opens it and restores the control state from it.
func New(vmSettings settings.Settings, clk clock.Clock, logger zerolog.Logger) (*Node, error) {
	n := &Node{
		Settings: vmSettings,
		Clock:    clk,
		pauses:   pause.Detector{Clock: clk},
		Logger:   logger.With().Str("vm", vmSettings.ID).Logger(),
		Network:  peerrpc.NewNetwork([]byte(vmSettings.SharedKey)),
		Metrics:  NewMetrics(),
		stopped:  make(chan struct{}),
		failed:   make(chan error, 1),
	}
	n.Orders = n.NewBudget("orders", leastOrders, 0)
	dialer := &net.Dialer{}
	n.DialServer = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	n.calls.answers, n.calls.abandons = make(map[uint64]chan any), make(map[uint64]func())
	durable, err := n.openLog()
	if err != nil {
		return nil, err
	}
	var savedRoster rosterContent
	n.rosterFile, savedRoster, err = openRosterFile(n)
	if err != nil {
		return nil, err
	}
	stateSettings := n.reducerSettings()
	stateSettings.SavedServers, stateSettings.SavedPeers = savedRoster.Records, savedRoster.Peers
	n.state, err = reducer.New(stateSettings, durable, clk.Now())
	if err != nil {
		return nil, eris.Wrap(err, "restore control state")
	}
	n.loader = newDocumentLoader(n)
	n.trail, err = newAuditTrail(n)
	if err != nil {
		return nil, err
	}
	n.Network.OnDropped = n.countDrop
	n.Network.OnSilent = n.logSilence
	n.Network.OnRefused = func(peer string) { n.Apply(reducer.PeerUnreachable{Peer: peer}) }
	n.server = &peerrpc.Server{
		Key:            []byte(vmSettings.SharedKey),
		Handler:        peerHandler{n},
		Lingerer:       tcp.Lingerer{Clock: clk},
		OnAcceptFailed: func(err error) { n.LogError(reducer.CodeListenerFailed, err) },
		OnHandshakeFailed: func(address string, err error) {
			n.logEvent(reducer.Log{Code: reducer.CodePeerRefused, Detail: fmt.Sprintf("%s: %v", address, err)})
		},
	}
	return n, nil
}

const (
	defaultMemoryMiB = 128                          // of a VM whose settings name no memory limit
	leastOrders      = document.MaxSectionBytes + 1 // bytes of the largest order, and one that tells a longer one
	budgetsInMemory  = 4                            // each budget has this part of the memory limit
)

// NewBudget returns a budget for the requests of one kind, a part of the VM's memory limit, but at
// least so many bytes; its name is a label of heatherwood_held_bytes, free that of
// intake.NewBudget.
func (n *Node) NewBudget(name string, least, free int64) *intake.Budget {
	memory := int64(cmp.Or(n.Settings.MemoryLimitMiB, defaultMemoryMiB)) << 20
	b := intake.NewBudget(max(least, memory/budgetsInMemory), free)
	n.Metrics.WatchBytes(name, b.Held)
	return b
}

func (n *Node) reducerSettings() reducer.Settings {
	vmSettings := n.Settings
	result := reducer.Settings{
		VM:             vmSettings.ID,
		Peer:           vmSettings.Peer,
		Entry:          vmSettings.Entry,
		Domain:         vmSettings.Domain,
		Region:         vmSettings.Region,
		Seeds:          vmSettings.Seeds,
		Replicas:       n.initialReplicas(),
		Incarnation:    uint64(n.Clock.Now().Unix()),
		Control:        vmSettings.DataDir != "",
		Replica:        n.replicaID,
		ManageReplicas: vmSettings.ManageReplicas,
	}
	return result
}

// initialReplicas returns the control replicas that the settings name for the first
// start; controlPeers returns the current ones.
func (n *Node) initialReplicas() []quorum.Replica {
	var replicas []quorum.Replica
	for _, replica := range n.Settings.InitialReplicas {
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(replica.ID), Address: replica.Peer})
	}
	return replicas
}

// openLog opens the replicated log in the data folder and returns what it holds,
// or nil without a data folder. A replica that is not in the settings' list of
// replicas starts without a vote and waits to be added.
func (n *Node) openLog() (*quorum.DurableState, error) {
	if n.Settings.DataDir == "" {
		return nil, nil
	}
	logFolder, err := disk.OpenFolder(filepath.Join(n.Settings.DataDir, logFolderName))
	if err != nil {
		return nil, err
	}
	n.logFolder = logFolder
	bootstrap := quorum.Snapshot{Config: quorum.Config{Voters: n.initialReplicas()}}
	if n.Settings.ManageReplicas {
		if err := n.loadReplicaID(logFolder, &bootstrap); err != nil {
			logFolder.Close()
			return nil, err
		}
	}
	store, durable, err := disk.OpenStore(logFolder, bootstrap)
	if err != nil {
		logFolder.Close()
		return nil, err
	}
	n.logWriter = newLogWriter(n, logFolder, bootstrap, store)
	return &durable, nil
}

const tickInterval = 50 * time.Millisecond

// Start listens for peers and starts the VM's goroutines.
func (n *Node) Start() error {
	address := n.Settings.Peer
	if n.Settings.PeerListen != "" {
		address = n.Settings.PeerListen
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	n.startGoroutine(func() {
		if err := n.server.Serve(listener); err != nil {
			n.reportFailure(fmt.Errorf("serve peers: %w", err))
		}
	})
	if n.logWriter != nil {
		n.startGoroutine(n.logWriter.run)
	}
	if n.rosterFile != nil {
		n.startGoroutine(n.rosterFile.run)
	}
	n.startGoroutine(n.loader.run)
	n.startGoroutine(n.trail.run)
	n.startGoroutine(n.tickUntilStopped)
	n.logEvent(reducer.Log{Code: reducer.CodeStarted, Detail: n.Settings.Entry})
	return nil
}

// startGoroutine runs a function in the background. It returns false once the VM stops, which
// waits for all that were started.
func (n *Node) startGoroutine(run func()) bool {
	n.startMutex.Lock()
	defer n.startMutex.Unlock()
	if n.stopping {
		return false
	}
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		run()
	}()
	return true
}

// stopGoroutines starts no more goroutines and waits for the others.
func (n *Node) stopGoroutines() {
	n.startMutex.Lock()
	n.stopping = true
	n.startMutex.Unlock()
	n.goroutines.Wait()
}

func (n *Node) reportFailure(err error) {
	n.logEvent(reducer.Log{Code: reducer.CodeListenerFailed, Detail: err.Error()})
	select {
	case n.failed <- err:
	default:
	}
}

// Failed returns a channel that receives the first error that the VM cannot recover
// from.
func (n *Node) Failed() <-chan error { return n.failed }

func (n *Node) tickUntilStopped() {
	for {
		due := n.Clock.Now().Add(tickInterval)
		select {
		case <-n.stopped:
			return
		case <-n.Clock.After(tickInterval):
			n.Metrics.TickLateSeconds.Update(n.Clock.Now().Sub(due).Seconds())
			n.pauses.Observe()
			n.Apply(reducer.Tick{})
			n.logDrops()
		}
	}
}

// RequestListener returns the listener of connections on which other VMs pass callers'
// requests on to this one.
func (n *Node) RequestListener() net.Listener { return n.server.RequestListener(n.Settings.Peer) }

// Stop ends the VM at once, without waiting for running requests. Audit records that
// are still queued are written first if the VM has a data folder.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		n.logEvent(reducer.Log{Code: reducer.CodeStopping})
		close(n.stopped)
		n.server.Close()
		n.Network.Close()
		n.stopGoroutines()
		n.trail.close()
		if n.logWriter != nil {
			n.logWriter.close()
		}
		if n.logFolder != nil {
			n.logFolder.Close()
		}
	})
}

// View returns the current view of the state, or nil before the first is published.
func (n *Node) View() *reducer.View { return n.view.Load() }

// Edition returns the newest edition if this VM holds it, as reducer.State.Edition does.
func (n *Node) Edition() ledger.Edition {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.state.Edition()
}

// Apply passes an event to the reducer and executes the effects it returns. Under
// the lock, effects are only queued, so they keep their order and none blocks.
func (n *Node) Apply(event reducer.Event) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, effect := range n.state.Apply(n.Clock.Now(), event) {
		n.execute(effect)
	}
}

func (n *Node) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Transmit:
		n.Metrics.CountSent(e.Message)
		n.Network.Send(e.Peer, e.Message)
	case reducer.SaveLog:
		n.logWriter.enqueue(e.Save)
	case reducer.Answer:
		n.calls.deliver(e.Call, e.Value)
	case reducer.LoadDocument:
		n.loader.setPending(e)
	case reducer.PublishView:
		n.view.Store(e.View)
	case reducer.RecordAudit:
		n.trail.add(e.Entry)
	case reducer.SaveRoster:
		n.rosterFile.setPending(e)
	case reducer.ProbeServer:
		n.probe(e.Probe)
	case reducer.AskServer:
		n.ask(e.Question)
	case reducer.CheckContacts:
		n.checkContacts(e)
	case reducer.AbandonSend:
		n.calls.abandon(e.Call)
	case reducer.Log:
		n.logEvent(e)
	case reducer.Decision:
		n.LogDecision(e)
	}
}

// probe connects to a server in the background and reports the result.
func (n *Node) probe(p reach.Probe) {
	if n.ProbeServer == nil {
		return
	}
	n.startGoroutine(func() {
		failure := n.ProbeServer(p.Address)
		n.Metrics.CountProbe(failure)
		n.Apply(reducer.ServerProbed{Probe: p, Failure: failure})
	})
}

// ask asks a server in the background and reports the answer.
func (n *Node) ask(q reducer.ServerQuestion) {
	if n.AskServer == nil {
		return
	}
	n.startGoroutine(func() {
		answer := n.AskServer(q)
		n.Metrics.CountQuestion(answer)
		n.Apply(answer)
	})
}

// checkContacts looks in the background to which servers connections are open.
func (n *Node) checkContacts(c reducer.CheckContacts) {
	if n.OpenContacts == nil {
		return
	}
	n.startGoroutine(func() { n.Apply(reducer.ContactsOpen{At: c.At, Addresses: n.OpenContacts(c.Before)}) })
}

func (n *Node) logEvent(e reducer.Log) {
	info := e.Code.Info()
	level, err := zerolog.ParseLevel(info.Level)
	if err != nil {
		level = zerolog.ErrorLevel
	}
	line := n.Logger.WithLevel(level).Str("event", fmt.Sprintf("HW%d", e.Code))
	if e.Detail != "" {
		line = line.Str("detail", e.Detail)
	}
	if e.Count != 0 {
		line = line.Int64("count", e.Count)
	}
	line.Msg(info.Text)
	n.Metrics.CountEvent(e.Code)
}

// LogError logs an error under the event code, in the same format as the reducer's
// events.
func (n *Node) LogError(code reducer.Code, err error) {
	n.logEvent(reducer.Log{Code: code, Detail: err.Error()})
}

// LogDecision logs a decision with its inputs, unless the log level hides it.
func (n *Node) LogDecision(d reducer.Decision) {
	info := d.Code.Info()
	line := n.Logger.Info()
	if !line.Enabled() {
		return
	}
	line = line.Str("event", fmt.Sprintf("HW%d", d.Code))
	if d.Request != "" {
		line = line.Str("request", d.Request)
	}
	for _, field := range d.Fields {
		switch value := field.Value.(type) {
		case string:
			line = line.Str(field.Name, value)
		case int64:
			line = line.Int64(field.Name, value)
		case float64:
			line = line.Float64(field.Name, value)
		case bool:
			line = line.Bool(field.Name, value)
		case time.Duration:
			line = line.Float64(field.Name+"_ms", float64(value.Microseconds())/1000)
		}
	}
	line.Str("outcome", d.Outcome).Msg(info.Text)
}

// pendingCalls routes each answer of the reducer to the goroutine that waits for
// it, by call id.
type pendingCalls struct {
	mutex   sync.Mutex
	lastID  uint64 // of the call opened last
	answers map[uint64]chan any

	abandons map[uint64]func() // what gives up the send that is under way
}

func (c *pendingCalls) setAbandon(id uint64, abandon func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if abandon == nil {
		delete(c.abandons, id)
		return
	}
	c.abandons[id] = abandon
}

func (c *pendingCalls) abandon(id uint64) {
	c.mutex.Lock()
	abandon := c.abandons[id]
	c.mutex.Unlock()
	if abandon != nil {
		abandon()
	}
}

func (c *pendingCalls) open() (uint64, chan any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastID++
	answers := make(chan any, 4)
	c.answers[c.lastID] = answers
	return c.lastID, answers
}

func (c *pendingCalls) close(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.answers, id)
	delete(c.abandons, id)
}

func (c *pendingCalls) deliver(id uint64, value any) {
	c.mutex.Lock()
	answers := c.answers[id]
	c.mutex.Unlock()
	if answers == nil {
		return
	}
	select {
	case answers <- value:
	default:
	}
}

var errStopping = errors.New("the VM is stopping")

// awaitAnswer waits for the next answer to a call, until the context ends or the VM
// stops.
func awaitAnswer[T any](ctx context.Context, n *Node, answers chan any) (T, error) {
	var zero T
	select {
	case value := <-answers:
		answer, ok := value.(T)
		if !ok {
			return zero, fmt.Errorf("answer of type %T where %T was expected", value, zero)
		}
		return answer, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-n.stopped:
		return zero, errStopping
	}
}

// callReducer applies one event that carries a call id and waits for its answer.
func callReducer[T any](ctx context.Context, n *Node, event func(call uint64) reducer.Event) (T, error) {
	call, answers := n.calls.open()
	defer n.calls.close(call)
	n.Apply(event(call))
	return awaitAnswer[T](ctx, n, answers)
}
