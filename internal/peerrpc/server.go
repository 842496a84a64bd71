package peerrpc

import (
	"errors"
	"maps"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/tcp"
)

// Server accepts connections from peers and serves their calls.
type Server struct {
	Key               []byte // the site's key
	Handler           Handler
	OnHandshakeFailed func(address string, err error) // called after a failed handshake
	OnAcceptFailed    func(err error)                 // called after a connection that could not be accepted
	Lingerer          tcp.Lingerer                    // closes the connections of the RequestListener

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{} // open connections
	closed   bool
	streams  map[uint64]*stream
	requests *requestListener
}

// stream is what is known of the batches of one sender.
type stream struct {
	mutex  sync.Mutex   // held while a batch is handled
	last   uint64       // sequence of the last batch handled
	conn   net.Conn     // that brought it
	usedAt atomic.Int64 // nanoseconds since 1970
}

const (
	maxStreams     = 2 * maxPeerConns
	streamIdleTime = time.Minute // after which a stream may be forgotten

	earlierCloseDelay = time.Second // the sender closes a connection that it replaces by itself, unless that is lost too
)

// deliver handles a batch unless it was handled before, on another connection. A sender
// uses one connection at a time; an earlier one that brought no newer batch is closed.
func (st *stream) deliver(conn net.Conn, sequence uint64, handle func()) {
	st.usedAt.Store(time.Now().UnixNano())
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if sequence <= st.last {
		return
	}
	if earlier := st.conn; earlier != nil && earlier != conn {
		time.AfterFunc(earlierCloseDelay, func() { earlier.Close() })
	}
	st.last, st.conn = sequence, conn
	handle()
}

func (s *Server) stream(id uint64) *stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if s.streams == nil {
		s.streams = make(map[uint64]*stream)
	}
	st := s.streams[id]
	if st == nil {
		if len(s.streams) >= maxStreams {
			maps.DeleteFunc(s.streams, func(_ uint64, st *stream) bool { return now.Sub(time.Unix(0, st.usedAt.Load())) > streamIdleTime })
		}
		st = &stream{}
		s.streams[id] = st
	}
	st.usedAt.Store(now.UnixNano())
	return st
}

// Serve accepts connections until Close, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &PeerService{handler: s.Handler}); err != nil {
		return err
	}
	s.mutex.Lock()
	s.listener = listener
	s.conns = make(map[net.Conn]struct{})
	closed := s.closed
	s.mutex.Unlock()
	if closed {
		// Close ran first and had no listener to close.
		listener.Close()
		return nil
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// As when no descriptor is left: connections end, and the VM goes on.
			if s.OnAcceptFailed != nil {
				s.OnAcceptFailed(err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveConn(server, conn)
	}
}

const acceptRetryDelay = 200 * time.Millisecond // after a connection that could not be accepted

func (s *Server) serveConn(server *rpc.Server, conn net.Conn) {
	if !s.track(conn, true) {
		conn.Close()
		return
	}
	role, err := handshake(conn, s.Key, roleServer, roleClient, roleForwarder)
	if err == nil && role == roleForwarder && s.requestListener().offer(&requestConn{LingeringConn: s.Lingerer.Wrap(conn, conn), server: s}) {
		return
	}
	defer conn.Close()
	defer s.track(conn, false)
	if err != nil {
		if s.OnHandshakeFailed != nil {
			s.OnHandshakeFailed(conn.RemoteAddr().String(), err)
		}
		return
	}
	if role == roleClient {
		server.ServeCodec(newServerCodec(conn, s))
	}
}

const maxPeerConns = 4096

// track adds or removes an open connection; it returns false if a connection may not
// be added, because the server is closed or has maxPeerConns.
func (s *Server) track(conn net.Conn, open bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !open {
		delete(s.conns, conn)
		return true
	}
	if s.closed || len(s.conns) >= maxPeerConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for conn := range s.conns {
		conn.Close()
	}
	if s.requests != nil {
		s.requests.Close()
	}
}

const (
	serviceName   = "Peer"
	deliverMethod = "Deliver"
)

// PeerService holds the methods that peers call by net/rpc, as serviceName plus the
// name of the method.
type PeerService struct{ handler Handler }

// Deliver acknowledges a batch of one-way messages, which the codec has handled.
func (p *PeerService) Deliver(*Batch, *Empty) error { return nil }

// Propose replicates a command if this VM is the control leader.
func (p *PeerService) Propose(args *ProposeArgs, reply *reducer.ProposalResult) error {
	*reply = p.handler.Propose(args.Command, args.Fence)
	return nil
}

// Change changes the replica set if this VM is the control leader.
func (p *PeerService) Change(args *ChangeArgs, reply *reducer.ProposalResult) error {
	*reply = p.handler.Change(args.Change)
	return nil
}

// Read reads a section if this VM is the control leader.
func (p *PeerService) Read(args *ReadArgs, reply *reducer.ReadResult) error {
	*reply = p.handler.Read(args.Section)
	return nil
}

// History returns the versions of a section that this replica holds.
func (p *PeerService) History(args *HistoryArgs, reply *HistoryReply) error {
	reply.Versions = p.handler.History(args.Section)
	return nil
}

// Ask requests a slot and waits for the answer.
func (p *PeerService) Ask(args *AskArgs, reply *dispatch.Answer) error {
	*reply = p.handler.Ask(args.Ask)
	return nil
}

// Announce applies a forwarded announcement of a backend server.
func (p *PeerService) Announce(args *AnnounceArgs, reply *reducer.AnnouncementResult) error {
	*reply = p.handler.Announce(args.Announcement, args.Gone)
	return nil
}

// Ship stores audit records and replies once they are synced.
func (p *PeerService) Ship(args *ShipArgs, reply *ShipReply) error {
	var err error
	*reply, err = p.handler.Ship(*args)
	return err
}
