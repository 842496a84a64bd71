package node

import (
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
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/settings"
)

// Node runs one VM of the system.
type Node struct {
	Settings settings.Settings
	Clock    clock.Clock
	Logger   zerolog.Logger
	Network  *peerrpc.Network
	Metrics  *Metrics

	mutex   sync.Mutex // guards state and the order of its effects
	state   *reducer.State
	view    atomic.Pointer[reducer.View]
	calls   calls
	saver   *saver
	loader  *loader
	rosters *rosterFile // nil without a data folder
	trail   *trail
	tallies tallies
	replica string // id of the control replica, empty for the VM's id
	server  *peerrpc.Server
	folder  *disk.Folder
	stopped chan struct{}
	stop    sync.Once
	group   sync.WaitGroup
	failed  chan error
}

// Subfolders of the data folder.
const (
	logFolder   = "log"
	auditFolder = "audit"
)

// New prepares a VM; a data folder is opened and read.
func New(own settings.Settings, clk clock.Clock, logger zerolog.Logger) (*Node, error) {
	n := &Node{
		Settings: own,
		Clock:    clk,
		Logger:   logger.With().Str("vm", own.ID).Logger(),
		Network:  peerrpc.NewNetwork([]byte(own.SharedKey)),
		Metrics:  NewMetrics(),
		stopped:  make(chan struct{}),
		failed:   make(chan error, 1),
	}
	n.calls.waiting = make(map[uint64]chan any)
	restart, err := n.openData()
	if err != nil {
		return nil, err
	}
	var kept rosterContent
	n.rosters, kept, err = openRoster(n)
	if err != nil {
		return nil, err
	}
	start := n.reducerSettings()
	start.SavedServers, start.SavedPeers = kept.Records, kept.Peers
	n.state, err = reducer.New(start, restart, clk.Now())
	if err != nil {
		return nil, eris.Wrap(err, "restore control state")
	}
	n.loader = newLoader(n)
	n.trail, err = newTrail(n)
	if err != nil {
		return nil, err
	}
	n.Network.OnRefused = func(peer string) { n.Apply(reducer.PeerUnreachable{Peer: peer}) }
	n.server = &peerrpc.Server{
		Key:     []byte(own.SharedKey),
		Handler: peerHandler{n},
		OnHandshakeFailed: func(address string, err error) {
			n.logEvent(reducer.Log{Code: reducer.CodePeerRefused, Detail: fmt.Sprintf("%s: %v", address, err)})
		},
	}
	return n, nil
}

func (n *Node) reducerSettings() reducer.Settings {
	own := n.Settings
	result := reducer.Settings{
		VM:             own.ID,
		Peer:           own.Peer,
		Entry:          own.Entry,
		Domain:         own.Domain,
		Region:         own.Region,
		Seeds:          own.Seeds,
		Replicas:       n.replicas(),
		Incarnation:    uint64(n.Clock.Now().Unix()),
		Control:        own.DataDir != "",
		Replica:        n.replica,
		ManageReplicas: own.ManageReplicas,
	}
	return result
}

func (n *Node) replicas() []quorum.Replica {
	var replicas []quorum.Replica
	for _, replica := range n.Settings.InitialReplicas {
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(replica.ID), Address: replica.Peer})
	}
	return replicas
}

// openData reads what the data folder holds, or returns nil without one. A
// replica that is not in the settings' list starts without a vote and waits to
// be added.
func (n *Node) openData() (*quorum.DurableState, error) {
	if n.Settings.DataDir == "" {
		return nil, nil
	}
	folder, err := disk.OpenFolder(filepath.Join(n.Settings.DataDir, logFolder))
	if err != nil {
		return nil, err
	}
	n.folder = folder
	first := quorum.Snapshot{Config: quorum.Config{Voters: n.replicas()}}
	if n.Settings.ManageReplicas {
		if err := n.takeSeat(folder, &first); err != nil {
			folder.Close()
			return nil, err
		}
	}
	store, restart, err := disk.OpenStore(folder, first)
	if err != nil {
		folder.Close()
		return nil, err
	}
	n.saver = newSaver(n, folder, first, store)
	return &restart, nil
}

const tickInterval = 50 * time.Millisecond

// Start listens for peers and begins to tick.
func (n *Node) Start() error {
	address := n.Settings.Peer
	if n.Settings.PeerListen != "" {
		address = n.Settings.PeerListen
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	n.run(func() {
		if err := n.server.Serve(listener); err != nil {
			n.fail(fmt.Errorf("serve peers: %w", err))
		}
	})
	if n.saver != nil {
		n.run(n.saver.run)
	}
	if n.rosters != nil {
		n.run(n.rosters.run)
	}
	n.run(n.loader.run)
	n.run(n.trail.run)
	n.run(n.tick)
	n.logEvent(reducer.Log{Code: reducer.CodeStarted, Detail: n.Settings.Entry})
	return nil
}

func (n *Node) run(work func()) {
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		work()
	}()
}

func (n *Node) fail(err error) {
	n.logEvent(reducer.Log{Code: reducer.CodeListenerFailed, Detail: err.Error()})
	select {
	case n.failed <- err:
	default:
	}
}

// Failed delivers the first error that the VM cannot go on with.
func (n *Node) Failed() <-chan error { return n.failed }

func (n *Node) tick() {
	for {
		select {
		case <-n.stopped:
			return
		case <-n.Clock.After(tickInterval):
			n.Apply(reducer.Tick{})
		}
	}
}

// Stop ends the VM without ceremony.
func (n *Node) Stop() {
	n.stop.Do(func() {
		n.logEvent(reducer.Log{Code: reducer.CodeStopping})
		close(n.stopped)
		n.server.Close()
		n.Network.Close()
		n.group.Wait()
		n.trail.close()
		if n.saver != nil {
			n.saver.close()
		}
		if n.folder != nil {
			n.folder.Close()
		}
	})
}

// View returns the present snapshot; it is nil before the first.
func (n *Node) View() *reducer.View { return n.view.Load() }

// Apply hands an event to the reducer and carries out its effects. Effects are
// only queued under the lock, so they keep their order and none blocks.
func (n *Node) Apply(event reducer.Event) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, effect := range n.state.Apply(n.Clock.Now(), event) {
		n.carryOut(effect)
	}
}

func (n *Node) carryOut(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Transmit:
		n.Network.Send(e.Peer, e.Message)
	case reducer.SaveLog:
		n.saver.add(e.Save)
	case reducer.Answer:
		n.calls.answer(e.Call, e.Value)
	case reducer.LoadDocument:
		n.loader.add(e)
	case reducer.PublishView:
		n.view.Store(e.View)
	case reducer.RecordAudit:
		n.trail.add(e.Entry)
	case reducer.SaveRoster:
		n.rosters.add(e)
	case reducer.Log:
		n.logEvent(e)
	case reducer.Decision:
		n.LogDecision(e)
	}
}

func (n *Node) logEvent(e reducer.Log) {
	info := e.Code.Info()
	level, err := zerolog.ParseLevel(info.Level)
	if err != nil {
		level = zerolog.ErrorLevel
	}
	event := n.Logger.WithLevel(level).Str("event", fmt.Sprintf("HW%d", e.Code))
	if e.Detail != "" {
		event = event.Str("detail", e.Detail)
	}
	if e.Count != 0 {
		event = event.Int64("count", e.Count)
	}
	event.Msg(info.Text)
	n.Metrics.CountEvent(e.Code)
}

// LogError logs an error of the shell around the VM.
func (n *Node) LogError(code reducer.Code, err error) {
	n.logEvent(reducer.Log{Code: code, Detail: err.Error()})
}

// LogDecision writes the log line of a decision.
func (n *Node) LogDecision(d reducer.Decision) {
	info := d.Code.Info()
	event := n.Logger.Info()
	if !event.Enabled() {
		return
	}
	event = event.Str("event", fmt.Sprintf("HW%d", d.Code))
	if d.Request != "" {
		event = event.Str("request", d.Request)
	}
	for _, field := range d.Fields {
		switch value := field.Value.(type) {
		case string:
			event = event.Str(field.Name, value)
		case int64:
			event = event.Int64(field.Name, value)
		case float64:
			event = event.Float64(field.Name, value)
		case bool:
			event = event.Bool(field.Name, value)
		case time.Duration:
			event = event.Float64(field.Name+"_ms", float64(value.Microseconds())/1000)
		}
	}
	event.Str("outcome", d.Outcome).Msg(info.Text)
}

// calls matches answers to those who wait for them.
type calls struct {
	mutex   sync.Mutex
	next    uint64
	waiting map[uint64]chan any
}

func (c *calls) open() (uint64, chan any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	channel := make(chan any, 4)
	c.waiting[c.next] = channel
	return c.next, channel
}

func (c *calls) close(call uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, call)
}

func (c *calls) answer(call uint64, value any) {
	c.mutex.Lock()
	channel := c.waiting[call]
	c.mutex.Unlock()
	if channel == nil {
		return
	}
	select {
	case channel <- value:
	default:
	}
}

var errStopped = errors.New("the VM is stopping")

// await waits for the next answer to a call.
func await[T any](ctx context.Context, n *Node, channel chan any) (T, error) {
	var zero T
	select {
	case value := <-channel:
		typed, fits := value.(T)
		if !fits {
			return zero, fmt.Errorf("answer of type %T where %T was expected", value, zero)
		}
		return typed, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-n.stopped:
		return zero, errStopped
	}
}

// ask applies one event that carries a call and waits for its answer.
func ask[T any](ctx context.Context, n *Node, event func(call uint64) reducer.Event) (T, error) {
	call, channel := n.calls.open()
	defer n.calls.close(call)
	n.Apply(event(call))
	return await[T](ctx, n, channel)
}
