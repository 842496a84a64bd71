package peerrpc

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Server accepts the connections of peers.
type Server struct {
	Key               []byte // the site's key
	Handler           Handler
	OnHandshakeFailed func(address string, err error) // told of failed handshakes

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// Serve accepts connections until Close; it returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Peer{handler: s.Handler}); err != nil {
		return err
	}
	s.mutex.Lock()
	s.listener = listener
	s.conns = make(map[net.Conn]struct{})
	s.mutex.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go s.serveConn(server, conn)
	}
}

func (s *Server) serveConn(server *rpc.Server, conn net.Conn) {
	defer conn.Close()
	if !s.track(conn, true) {
		return
	}
	defer s.track(conn, false)
	if err := shake(conn, s.Key, roleServer, roleClient); err != nil {
		if s.OnHandshakeFailed != nil {
			s.OnHandshakeFailed(conn.RemoteAddr().String(), err)
		}
		return
	}
	server.ServeConn(conn)
}

const maxPeerConns = 4096

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

// Close stops accepting and closes all connections.
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
}

const serviceName = "Peer"

// Peer is the set of methods that net/rpc offers to peers.
type Peer struct{ handler Handler }

// Deliver takes one-way messages.
func (p *Peer) Deliver(batch *Batch, _ *Nothing) error {
	p.handler.Deliver(batch.Messages)
	return nil
}

// Propose replicates a command.
func (p *Peer) Propose(args *ProposeArgs, reply *reducer.ProposalResult) error {
	*reply = p.handler.Propose(args.Command)
	return nil
}

// Change alters the replicas.
func (p *Peer) Change(args *ChangeArgs, reply *reducer.ProposalResult) error {
	*reply = p.handler.Change(args.Change)
	return nil
}

// Read reads a section.
func (p *Peer) Read(args *ReadArgs, reply *reducer.ReadResult) error {
	*reply = p.handler.Read(args.Section)
	return nil
}

// History lists the versions of a section.
func (p *Peer) History(args *HistoryArgs, reply *HistoryReply) error {
	reply.Versions = p.handler.History(args.Section)
	return nil
}

// Ask waits for a slot.
func (p *Peer) Ask(args *AskArgs, reply *dispatch.Answer) error {
	*reply = p.handler.Ask(args.Ask)
	return nil
}

// Announce takes a forwarded announcement.
func (p *Peer) Announce(args *AnnounceArgs, reply *reducer.AnnouncementResult) error {
	*reply = p.handler.Announce(args.Announcement, args.Gone)
	return nil
}

// Ship stores audit records.
func (p *Peer) Ship(args *ShipArgs, reply *ShipReply) error {
	var err error
	*reply, err = p.handler.Ship(*args)
	return err
}
