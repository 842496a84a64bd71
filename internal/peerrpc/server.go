package peerrpc

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Server accepts connections from peers and serves their calls.
type Server struct {
	Key               []byte // the site's key
	Handler           Handler
	OnHandshakeFailed func(address string, err error) // called after a failed handshake

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{} // open connections
	closed   bool
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
	if err := handshake(conn, s.Key, roleServer, roleClient); err != nil {
		if s.OnHandshakeFailed != nil {
			s.OnHandshakeFailed(conn.RemoteAddr().String(), err)
		}
		return
	}
	server.ServeCodec(newServerCodec(conn, s.Handler))
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
	*reply = p.handler.Propose(args.Command)
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
