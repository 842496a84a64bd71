package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

const (
	dialTimeout  = 2 * time.Second
	queueLimit   = 4096 // one-way messages waiting for one peer
	batchLimit   = 256
	windowLimit  = 16 // batches under way to one peer
	retryPause   = 100 * time.Millisecond
	deliverLimit = 5 * time.Second
)

// Network holds a connection to each peer that was spoken to.
type Network struct {
	Key       []byte // the site's key
	OnRefused func(peer string)
	BytesSent atomic.Int64 // bytes written to peers

	mutex sync.Mutex
	peers map[string]*peer
	done  chan struct{}
}

// NewNetwork returns a network without connections.
func NewNetwork(key []byte) *Network {
	return &Network{Key: key, peers: make(map[string]*peer), done: make(chan struct{})}
}

// Close ends all connections.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	select {
	case <-n.done:
		return
	default:
	}
	close(n.done)
	for _, p := range n.peers {
		p.drop(nil)
	}
}

// peer is the connection to one address, with its queue of one-way messages.
type peer struct {
	network *Network
	address string

	mutex   sync.Mutex
	client  *rpc.Client
	failed  time.Time // of the last dial
	queue   []reducer.Message
	wake    chan struct{}
	window  chan struct{}
	dialing sync.Mutex
}

func (n *Network) peer(address string) *peer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	p := n.peers[address]
	if p == nil {
		p = &peer{
			network: n,
			address: address,
			wake:    make(chan struct{}, 1),
			window:  make(chan struct{}, windowLimit),
		}
		n.peers[address] = p
		go p.deliver()
	}
	return p
}

// Send queues a one-way message; it is dropped when the queue is full.
func (n *Network) Send(address string, message reducer.Message) {
	p := n.peer(address)
	p.mutex.Lock()
	if len(p.queue) < queueLimit {
		p.queue = append(p.queue, message)
	}
	p.mutex.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Call runs a method on a peer. An error that is not a *SentError means that
// the peer did not get the call.
func (n *Network) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := n.peer(address).connect()
	if err != nil {
		return err
	}
	call := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return &NoReplyError{Peer: address, Cause: ctx.Err()}
	}
	if call.Error == nil {
		return nil
	}
	var server rpc.ServerError
	if !errors.As(call.Error, &server) {
		n.peer(address).drop(client)
	}
	return &NoReplyError{Peer: address, Cause: call.Error}
}

// NoReplyError tells that a call may have reached the peer and has no answer.
type NoReplyError struct {
	Peer  string
	Cause error
}

// Error names the peer and the cause.
func (e *NoReplyError) Error() string { return fmt.Sprintf("call of peer %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Cause }

var errBackoff = errors.New("peer refused a connection a moment ago")

// connect returns the open connection or dials one.
func (p *peer) connect() (*rpc.Client, error) {
	if client, _ := p.present(); client != nil {
		return client, nil
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	client, failed := p.present()
	if client != nil {
		return client, nil
	}
	if time.Since(failed) < retryPause {
		return nil, errBackoff
	}
	client, err := p.dial()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.failed = time.Now()
		return nil, fmt.Errorf("connect to peer %s: %w", p.address, err)
	}
	p.client = client
	return client, nil
}

// present returns the open connection, if any, and the time of the last failed
// dial.
func (p *peer) present() (*rpc.Client, time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.client, p.failed
}

func (p *peer) dial() (*rpc.Client, error) {
	select {
	case <-p.network.done:
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
	if err := shake(conn, p.network.Key, roleClient, roleServer); err != nil {
		conn.Close()
		return nil, err
	}
	return rpc.NewClient(&countedConn{Conn: conn, sent: &p.network.BytesSent}), nil
}

// drop closes the connection if it is still the given one; nil drops any.
func (p *peer) drop(client *rpc.Client) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.client == nil || (client != nil && client != p.client) {
		return
	}
	p.client.Close()
	p.client = nil
}

// deliver sends queued messages in batches, several under way at a time.
func (p *peer) deliver() {
	for {
		select {
		case <-p.wake:
		case <-p.network.done:
			return
		}
		for batch := p.next(); len(batch) > 0; batch = p.next() {
			client, err := p.connect()
			if err != nil {
				break
			}
			p.window <- struct{}{}
			go p.sendBatch(client, batch)
		}
	}
}

func (p *peer) next() []reducer.Message {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := min(len(p.queue), batchLimit)
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	if len(p.queue) == 0 {
		p.queue = nil
	}
	return batch
}

func (p *peer) sendBatch(client *rpc.Client, batch []reducer.Message) {
	defer func() { <-p.window }()
	call := client.Go(serviceName+".Deliver", &Batch{Messages: batch}, &Nothing{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(deliverLimit)
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			p.drop(client)
		}
	case <-timer.C:
		p.drop(client)
	}
}

// countedConn counts the bytes sent.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}
