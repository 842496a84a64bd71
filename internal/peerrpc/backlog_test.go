package peerrpc

import (
	"net"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// heldHandler delivers nothing until it is released.
type heldHandler struct {
	recordingHandler
	released chan struct{}
}

func (h *heldHandler) Deliver(messages []reducer.Message) {
	<-h.released
	h.recordingHandler.Deliver(messages)
}

// backlogNow returns the backlog of a peer.
func (p *peer) backlogNow() backlog {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.backlog
}

// Bulk piled up for a peer that takes no messages, limited only by the number of messages.
func TestBulkForOnePeerIsBounded(t *testing.T) {
	const bulk, bulkBytes, perHeartbeat, firstHeartbeat = 300, 256 << 10, 4, 10_000
	handler := heldHandler{released: make(chan struct{})}
	address := serve(t, &handler)
	network := NewNetwork([]byte("key"))
	defer network.Close()
	dropped := make(map[uint64]bool) // by round
	network.OnDropped = func(peer string, message reducer.Message) {
		if peer != address {
			t.Errorf("dropped for %s, want %s", peer, address)
		}
		dropped[message.Quorum.Round] = true
	}
	for round := range uint64(bulk) {
		network.Send(address, bulkMessage(round, bulkBytes))
		if round%perHeartbeat == 0 {
			network.Send(address, heartbeat(firstHeartbeat+round))
		}
	}
	close(handler.released)
	sent := bulk + bulk/perHeartbeat
	const patience = 8 * time.Second
	awaitWithProcessor(t, patience, func() bool { return len(handler.delivered()) >= sent-len(dropped) })
	deliveredBytes := 0
	for _, round := range handler.delivered() {
		if round < firstHeartbeat {
			deliveredBytes += bulkBytes
		}
		if dropped[round] {
			t.Errorf("message %d was both dropped and delivered", round)
		}
	}
	if deliveredBytes > maxBulkBytes || deliveredBytes < maxBulkBytes/2 {
		t.Errorf("%d bytes were kept for the peer, want at most %d", deliveredBytes, maxBulkBytes)
	}
	for round := range dropped {
		if round >= firstHeartbeat {
			t.Errorf("heartbeat %d was dropped", round)
		}
	}

	awaitWithProcessor(t, patience, func() bool { return network.peer(address).backlogNow() == backlog{} })
	before, droppedBefore := len(handler.delivered()), len(dropped)
	network.Send(address, bulkMessage(bulk, maxBulkBytes+1))
	network.Send(address, heartbeat(firstHeartbeat+bulk))
	awaitWithProcessor(t, patience, func() bool { return len(handler.delivered()) == before+2 })
	if len(dropped) > droppedBefore {
		t.Error("a message above the bound was dropped though no other one was waiting")
	}
}

func TestLostMessagesLeaveTheBacklog(t *testing.T) {
	const bulk, bulkBytes = 60, 64 << 10
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedListener.Close()
	tests := map[string]struct {
		address string
		reset   bool // the connection is closed again and again
	}{
		"unreachable peer":       {address: closedListener.Addr().String()},
		"connections that break": {address: serveSilently(t, false), reset: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			network := NewNetwork([]byte("key"))
			defer network.Close()
			p := network.peer(test.address)
			for round := range uint64(bulk) {
				network.Send(test.address, bulkMessage(round, bulkBytes))
			}
			waitFor(t, 8*time.Second, func() bool {
				if test.reset {
					p.closeConnection(nil)
				}
				return p.backlogNow() == backlog{}
			})
		})
	}
}
