package peerrpc

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// slowLink passes connections on to one address and limits the bytes sent there.
type slowLink struct {
	rate     int // bytes a second
	accepted atomic.Int64
}

func (l *slowLink) listen(t *testing.T, target string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.accepted.Add(1)
			go l.pass(conn, target)
		}
	}()
	return listener.Addr().String()
}

func (l *slowLink) pass(conn net.Conn, target string) {
	const interval = 10 * time.Millisecond
	defer conn.Close()
	onward, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer onward.Close()
	go func() {
		io.Copy(conn, onward)
		conn.Close()
	}()
	began, passed := time.Now(), 0
	buffer := make([]byte, l.rate*int(interval)/int(time.Second))
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if _, err := onward.Write(buffer[:n]); err != nil {
			return
		}
		passed += n
		due := began.Add(time.Duration(passed) * time.Second / time.Duration(l.rate))
		time.Sleep(time.Until(due))
		if time.Since(due) > interval {
			began, passed = time.Now(), 0
		}
	}
}

func bulkMessage(round uint64, bytes int) reducer.Message {
	return reducer.Message{Quorum: &quorum.Message{Round: round, Entries: []quorum.Entry{{Data: make([]byte, bytes)}}}}
}

func heartbeat(round uint64) reducer.Message {
	return reducer.Message{Quorum: &quorum.Message{Round: round}}
}

// A batch that was acknowledged late, because of the bytes ahead of it, ended the connection.
func TestSlowLinkLosesNothing(t *testing.T) {
	const rate, heartbeats = 250_000, 50
	tests := map[string]struct{ messages, bytes int }{
		"many large messages": {messages: 88, bytes: 16 << 10},
		"one huge message":    {messages: 1, bytes: 1408 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var handler recordingHandler
			link := slowLink{rate: rate}
			address := link.listen(t, serve(t, &handler))
			network := NewNetwork([]byte("key"))
			defer network.Close()
			for round := range test.messages {
				network.Send(address, bulkMessage(uint64(round), test.bytes))
			}
			for round := range heartbeats {
				network.Send(address, heartbeat(uint64(test.messages+round)))
				time.Sleep(20 * time.Millisecond)
			}
			sent := test.messages + heartbeats
			end := time.Now().Add(15 * time.Second)
			for len(handler.delivered()) < sent && link.accepted.Load() == 1 && time.Now().Before(end) {
				time.Sleep(10 * time.Millisecond)
			}
			if got := len(handler.delivered()); got < sent {
				t.Errorf("%d of %d messages were delivered over %d connections", got, sent, link.accepted.Load())
			}
		})
	}
}

// serveSilently accepts connections and, after the handshake, answers nothing.
func serveSilently(t *testing.T, reads bool) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		close(done)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := handshake(conn, []byte("key"), roleServer, roleClient); err != nil {
					return
				}
				if reads {
					io.Copy(io.Discard, conn)
				}
				<-done
			}()
		}
	}()
	return listener.Addr().String()
}

func TestSilentPeerIsClosed(t *testing.T) {
	const margin = 2 * time.Second
	tests := map[string]struct {
		reads bool
		bulk  int // messages of 16 KiB
	}{
		"reads, heartbeats":         {reads: true},
		"reads nothing, heartbeats": {},
		"reads, bulk":               {reads: true, bulk: 200},
		"reads nothing, bulk":       {bulk: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveSilently(t, test.reads)
			network := NewNetwork([]byte("key"))
			defer network.Close()
			first, err := network.peer(address).connect()
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			for round := range test.bulk {
				network.Send(address, bulkMessage(uint64(round), 16<<10))
			}
			for round := uint64(0); ; round++ {
				if current, _ := network.peer(address).openConnection(); current != first {
					break
				}
				if time.Since(began) > deliverTimeout+margin {
					t.Fatalf("still open after %v", time.Since(began))
				}
				network.Send(address, heartbeat(round))
				time.Sleep(50 * time.Millisecond)
			}
			if open := time.Since(began); open < deliverTimeout {
				t.Errorf("closed after %v, want %v", open, deliverTimeout)
			}
		})
	}
}
