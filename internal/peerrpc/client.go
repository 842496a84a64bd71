package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

const (
	dialTimeout        = 2 * time.Second
	maxQueuedMessages  = 4096 // one-way messages to one peer
	maxBatchMessages   = 256
	maxBatchBytes      = 64 << 10               // of more than one message, as estimated
	maxBatchesInFlight = 16                     // to one peer
	redialDelay        = 100 * time.Millisecond // after a failed dial
)

// Network holds one connection to each peer that was called or sent a message.
type Network struct {
	Key       []byte                                     // the site's key
	OnRefused func(peer string)                          // called when a peer's address refuses a connection
	OnDropped func(peer string, message reducer.Message) // called when a message does not fit the backlog of a peer
	OnSilent  func(peer string, s Silence)               // called when a silent connection was replaced
	BytesSent atomic.Int64                               // bytes written to peers

	mutex  sync.Mutex
	peers  map[string]*peer
	closed chan struct{}
}

// NewNetwork returns a network without connections; key is the site's key.
func NewNetwork(key []byte) *Network {
	return &Network{Key: key, peers: make(map[string]*peer), closed: make(chan struct{})}
}

// Close closes all connections and stops all delivery.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	select {
	case <-n.closed:
		return
	default:
	}
	close(n.closed)
	for _, p := range n.peers {
		p.closeConnection(nil)
	}
}

// connection is an open connection to a peer.
type connection struct {
	*rpc.Client
	conn         *progressConn
	lastSequence uint64 // of the last batch sent on it
}

// peer is the connection to one address, with its queue of one-way messages.
type peer struct {
	network *Network
	address string

	mutex           sync.Mutex
	connection      *connection
	lastDialFailure time.Time
	queue           []queuedMessage
	backlog         backlog
	stream          uint64
	lastSequence    uint64
	unanswered      []*batch // oldest first
	pingWanted      bool     // a call waits for its reply
	pingDue         time.Time
	wake            chan struct{}
	inFlight        chan struct{} // one element per batch in flight
	dialMutex       sync.Mutex
}

// queuedMessage is a one-way message with its estimated size.
type queuedMessage struct {
	message reducer.Message
	bytes   int
}

// batch is a batch of messages that the peer has not acknowledged.
type batch struct {
	sequence   uint64
	messages   []queuedMessage
	connection *connection // on which it was sent last
	sentAt     time.Time   // for the first time
}

// maxBatchAge is how long after it was sent first a batch is sent again on a new
// connection; later its messages are lost.
const maxBatchAge = 5 * time.Second

func (n *Network) peer(address string) *peer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.peers[address]
	if p == nil {
		p = &peer{
			network:  n,
			address:  address,
			stream:   rand.Uint64() | 1,
			wake:     make(chan struct{}, 1),
			inFlight: make(chan struct{}, maxBatchesInFlight),
		}
		n.peers[address] = p
		go p.deliverQueue()
	}
	return p
}

// Send queues a one-way message to a peer. The message is dropped if too many messages
// or bytes are waiting for the peer, and may be lost in transit.
func (n *Network) Send(address string, message reducer.Message) {
	p := n.peer(address)
	if !p.enqueue(queuedMessage{message: message, bytes: message.EstimatedBytes()}) {
		if n.OnDropped != nil {
			n.OnDropped(address, message)
		}
		return
	}
	p.wakeUp()
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// enqueue returns false if the message does not fit.
func (p *peer) enqueue(q queuedMessage) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.queue) >= maxQueuedMessages || !p.backlog.add(q.bytes) {
		return false
	}
	p.queue = append(p.queue, q)
	return true
}

// Call calls a method of a peer and waits for the reply. An error other than a
// *NoReplyError means that the peer did not receive the call.
func (n *Network) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := n.peer(address).connect()
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	go c.Go(serviceName+"."+method, args, reply, done) // blocks while bytes before it are being written
	call, err := n.peer(address).awaitReply(ctx, done)
	if err != nil {
		return &NoReplyError{Peer: address, Cause: err}
	}
	if call.Error == nil {
		return nil
	}
	var serverError rpc.ServerError
	if !errors.As(call.Error, &serverError) {
		n.peer(address).closeConnection(c)
	}
	return &NoReplyError{Peer: address, Cause: call.Error}
}

// awaitReply waits for the reply to a call. Meanwhile the peer is asked from time to time
// to acknowledge an empty batch, so that a silent connection is noticed.
func (p *peer) awaitReply(ctx context.Context, done <-chan *rpc.Call) (*rpc.Call, error) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case call := <-done:
			return call, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			p.ping(time.Now())
		}
	}
}

// ping asks the peer to acknowledge an empty batch, unless another batch is unanswered or
// a ping was sent less than pingInterval ago: many calls may wait at once.
func (p *peer) ping(now time.Time) {
	p.mutex.Lock()
	due := len(p.unanswered) == 0 && !now.Before(p.pingDue)
	if due {
		p.pingWanted, p.pingDue = true, now.Add(pingInterval)
	}
	p.mutex.Unlock()
	if due {
		p.wakeUp()
	}
}

// NoReplyError reports a call without a usable reply that may have reached the peer.
type NoReplyError struct {
	Peer  string
	Cause error
}

// Error names the peer and the cause.
func (e *NoReplyError) Error() string { return fmt.Sprintf("call to peer %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Cause }

var errDialBackoff = errors.New("last dial of the peer failed a moment ago; not dialing again yet")

// connect returns the open connection, or dials a new one unless a dial failed less
// than redialDelay ago.
func (p *peer) connect() (*connection, error) {
	if c, _ := p.openConnection(); c != nil {
		return c, nil
	}
	p.dialMutex.Lock()
	defer p.dialMutex.Unlock()
	c, lastFailure := p.openConnection()
	if c != nil {
		return c, nil
	}
	if time.Since(lastFailure) < redialDelay {
		return nil, errDialBackoff
	}
	c, err := p.dialFirst()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.lastDialFailure = time.Now()
		return nil, fmt.Errorf("connect to peer %s: %w", p.address, err)
	}
	p.connection = c
	return c, nil
}

// openConnection returns the open connection, or nil, and the time of the last failed
// dial.
func (p *peer) openConnection() (*connection, time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.connection, p.lastDialFailure
}

// dialFirst opens a connection. While one does not come, it tries others beside it, up to
// maxRaces, as a connection may go silent before its handshake ends. The first result counts: an
// error comes no later than without the others.
func (p *peer) dialFirst() (*connection, error) {
	type dialed struct {
		connection *connection
		err        error
	}
	results := make(chan dialed, maxRaces)
	start := func() {
		go func() {
			c, err := p.dial()
			results <- dialed{c, err}
		}()
	}
	next := time.NewTicker(raceInterval)
	defer next.Stop()
	start()
	for started := 1; ; {
		select {
		case <-next.C:
			if started < maxRaces {
				started++
				start()
			}
		case d := <-results:
			go func() {
				for range started - 1 {
					if other := <-results; other.err == nil {
						other.connection.Close()
					}
				}
			}()
			return d.connection, d.err
		}
	}
}

// dial opens a connection and runs the handshake.
func (p *peer) dial() (*connection, error) {
	select {
	case <-p.network.closed:
		return nil, net.ErrClosed
	default:
	}
	conn, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && p.network.OnRefused != nil {
			p.network.OnRefused(p.address)
		}
		return nil, err
	}
	if _, err := handshake(conn, p.network.Key, roleClient, roleServer); err != nil {
		conn.Close()
		return nil, err
	}
	counted := &progressConn{Conn: conn, sent: &p.network.BytesSent, openedAt: time.Now()}
	c := &connection{Client: rpc.NewClient(counted), conn: counted}
	counted.onSilent = func() { p.race(c) }
	return c, nil
}

// closeConnection closes the open connection if it is the given one; nil matches any.
func (p *peer) closeConnection(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connection == nil || (c != nil && c != p.connection) {
		return
	}
	p.connection.Close()
	if !p.connection.conn.hasRead() {
		p.lastDialFailure = time.Now() // it broke before any answer: not to be dialed again at once
	}
	p.connection = nil
}

// deliverQueue sends queued messages in batches, up to maxBatchesInFlight at a time.
// Batches that were not acknowledged on an earlier connection are sent again first. All
// are dropped if the peer cannot be reached.
func (p *peer) deliverQueue() {
	for {
		select {
		case <-p.wake:
		case <-p.network.closed:
			return
		}
		for p.hasWork() {
			c, err := p.connect()
			if err != nil {
				p.dropAll()
				break
			}
			if b := p.nextBatch(c); b != nil {
				p.sendBatch(c, b)
			}
		}
	}
}

// hasWork reports whether a batch is to be sent, or sent again.
func (p *peer) hasWork() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.queue) > 0 || p.pingWanted || slices.ContainsFunc(p.unanswered, func(b *batch) bool { return b.connection != p.connection })
}

// nextBatch returns the batch to send on the connection: the oldest one that was not
// acknowledged on another, or one of queued messages, or nil if there is nothing to send.
func (p *peer) nextBatch(c *connection) *batch {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unanswered = slices.DeleteFunc(p.unanswered, func(b *batch) bool {
		expired := b.connection != c && time.Since(b.sentAt) > maxBatchAge
		if expired {
			p.removeFromBacklog(b.messages)
		}
		return expired
	})
	for _, b := range p.unanswered {
		if b.connection != c {
			b.connection = c
			return b
		}
	}
	messages := p.takeMessages()
	if len(messages) == 0 && !p.pingWanted {
		return nil
	}
	p.pingWanted = false
	p.lastSequence++
	b := &batch{sequence: p.lastSequence, messages: messages, connection: c, sentAt: time.Now()}
	p.unanswered = append(p.unanswered, b)
	return b
}

// takeMessages removes messages from the queue and returns them: at most maxBatchMessages,
// and as many as take maxBatchBytes, but at least one. They stay in the backlog.
func (p *peer) takeMessages() []queuedMessage {
	n, bytes := 0, 0
	for n < min(len(p.queue), maxBatchMessages) {
		bytes += p.queue[n].bytes
		if n > 0 && bytes > maxBatchBytes {
			break
		}
		n++
	}
	messages := p.queue[:n:n]
	p.queue = p.queue[n:]
	if len(p.queue) == 0 {
		p.queue = nil
	}
	return messages
}

// dropAll drops the queue and the batches that were not acknowledged.
func (p *peer) dropAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.removeFromBacklog(p.queue)
	for _, b := range p.unanswered {
		p.removeFromBacklog(b.messages)
	}
	p.queue, p.unanswered, p.pingWanted = nil, nil, false
}

func (p *peer) removeFromBacklog(messages []queuedMessage) {
	for i := range messages {
		p.backlog.remove(messages[i].bytes)
	}
}

// acknowledge removes an acknowledged batch.
func (p *peer) acknowledge(b *batch) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if i := slices.Index(p.unanswered, b); i >= 0 {
		p.unanswered = slices.Delete(p.unanswered, i, i+1)
		p.removeFromBacklog(b.messages)
	}
}

// deliver begins the call that delivers a batch.
func (p *peer) deliver(c *connection, b *batch) *rpc.Call {
	args := &Batch{Messages: make([]reducer.Message, len(b.messages))}
	if c.lastSequence == 0 {
		args.Stream = p.stream
	}
	if b.sequence != c.lastSequence+1 || c.lastSequence == 0 {
		args.Sequence = b.sequence
	}
	c.lastSequence = b.sequence
	for i := range b.messages {
		args.Messages[i] = b.messages[i].message
	}
	return c.Go(serviceName+"."+deliverMethod, args, &Empty{}, make(chan *rpc.Call, 1))
}

// sendBatch writes one batch, so that batches leave in order, and closes the connection
// if it fails.
func (p *peer) sendBatch(c *connection, b *batch) {
	p.inFlight <- struct{}{}
	sent := c.conn.beginBatch()
	call := p.deliver(c, b)
	c.conn.endBatch(sent)
	go func() {
		<-call.Done
		c.conn.answered(sent)
		if call.Error == nil {
			p.acknowledge(b)
		} else {
			p.closeConnection(c)
			p.wakeUp()
		}
		<-p.inFlight
	}()
}
