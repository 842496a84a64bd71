package callerhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// contactServer is a server process that can end and start again at its address.
type contactServer struct {
	t        *testing.T
	address  string
	listener net.Listener
	accepted chan net.Conn
	conns    []net.Conn
}

func startContactServer(t *testing.T) *contactServer {
	s := &contactServer{t: t, address: "127.0.0.1:0"}
	s.listen()
	s.address = s.listener.Addr().String()
	t.Cleanup(s.end)
	return s
}

func (s *contactServer) listen() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	accepted := make(chan net.Conn, 16)
	s.listener, s.accepted = listener, accepted
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
}

func (s *contactServer) end() {
	s.listener.Close()
	for _, conn := range s.conns {
		conn.Close()
	}
	s.conns = nil
}

func (s *contactServer) restart() {
	s.end()
	s.listen()
}

// contactVM follows the connections of a VM to a server.
type contactVM struct {
	*contacts
	server *contactServer
	losses chan string
}

func newContactVM(t *testing.T) *contactVM {
	v := &contactVM{server: startContactServer(t), losses: make(chan string, 16)}
	v.contacts = newContacts(clock.System{}, func(_, why string) { v.losses <- why })
	return v
}

// dial opens a connection; reading says whether its end is noticed at once.
func (v *contactVM) dial(t *testing.T, reading bool) *serverConn {
	t.Helper()
	conn, err := net.Dial("tcp", v.server.address)
	if err != nil {
		t.Fatal(err)
	}
	v.server.conns = append(v.server.conns, <-v.server.accepted)
	c := followConn(conn)
	v.add(v.server.address, c)
	t.Cleanup(func() { c.Close() })
	if reading {
		go io.Copy(io.Discard, c)
	}
	return c
}

func (v *contactVM) wantLosses(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); len(v.losses) < want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // for one too many
	if got := len(v.losses); got != want {
		t.Errorf("%d losses of contact, want %d", got, want)
	}
}

// awaitEnd waits until the end of a connection is noticed, and what it means is told.
func (v *contactVM) awaitEnd(t *testing.T, c *serverConn) {
	t.Helper()
	isNoticed := func() bool {
		v.mutex.Lock()
		defer v.mutex.Unlock()
		_, open := c.contact.open[c]
		return !open && c.contact.telling == 0
	}
	for end := time.Now().Add(5 * time.Second); !isNoticed(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end of the connection was not noticed")
		}
	}
}

func TestLossOfContact(t *testing.T) {
	tests := map[string]struct {
		play func(*testing.T, *contactVM)
		want int
	}{
		"only connection ends": {func(t *testing.T, v *contactVM) {
			v.withholds(v.dial(t, true), choice{})
			v.server.restart()
		}, 1},
		"all of three end": {func(t *testing.T, v *contactVM) {
			for range 3 {
				v.withholds(v.dial(t, true), choice{})
			}
			v.server.restart()
		}, 1},
		"one of two ends": {func(t *testing.T, v *contactVM) {
			v.withholds(v.dial(t, true), choice{})
			v.withholds(v.dial(t, true), choice{})
			v.server.conns[0].Close()
		}, 0},
		"both end, one after the other": {func(t *testing.T, v *contactVM) {
			v.withholds(v.dial(t, true), choice{})
			v.withholds(v.dial(t, true), choice{})
			v.server.conns[0].Close()
			time.Sleep(20 * time.Millisecond)
			v.server.conns[1].Close()
		}, 1},
		"the server said that it closes": {func(t *testing.T, v *contactVM) {
			c := v.dial(t, true)
			c.noteAnswer(&http.Response{Close: true})
			v.server.conns[0].Close()
		}, 0},
		"it was idle for as long as the server keeps it": {func(t *testing.T, v *contactVM) {
			c := v.dial(t, true)
			c.noteAnswer(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=5, max=100"}}})
			c.noteByte(time.Now().Add(-5 * time.Second))
			v.server.conns[0].Close()
		}, 0},
		"it was idle for less": {func(t *testing.T, v *contactVM) {
			c := v.dial(t, true)
			c.noteAnswer(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=5"}}})
			v.server.conns[0].Close()
		}, 1},
		"it was just used, and the server keeps idle ones for a second": {func(t *testing.T, v *contactVM) {
			c := v.dial(t, true)
			c.noteAnswer(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=1"}}})
			v.server.conns[0].Close()
		}, 1},
		"it was idle for a second, as long as the server keeps it": {func(t *testing.T, v *contactVM) {
			c := v.dial(t, true)
			c.noteAnswer(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=1"}}})
			c.noteByte(time.Now().Add(-time.Second))
			v.server.conns[0].Close()
		}, 0},
		"this VM closes it": {func(t *testing.T, v *contactVM) { v.dial(t, true).Close() }, 0},
		"one is refused":    {func(_ *testing.T, v *contactVM) { v.failed(v.server.address, "refused") }, 1},
		"one is refused while another is open": {func(t *testing.T, v *contactVM) {
			v.withholds(v.dial(t, true), choice{})
			v.failed(v.server.address, "refused")
		}, 0},
		"the other one is new and not used yet": {func(t *testing.T, v *contactVM) {
			v.withholds(v.dial(t, true), choice{})
			v.server.restart()
			v.dial(t, false)
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			test.play(t, v)
			v.wantLosses(t, test.want)
		})
	}
}

func TestRequestIsWithheldFromASuccessorOfTheChosenServer(t *testing.T) {
	tests := map[string]struct {
		chosen func() choice
		play   func(*testing.T, *contactVM) *serverConn // that the request is sent on
		want   bool
	}{
		"nothing happened": {play: func(t *testing.T, v *contactVM) *serverConn { return v.dial(t, true) }},
		"the server started again, its end is known": {play: func(t *testing.T, v *contactVM) *serverConn {
			v.withholds(v.dial(t, true), choice{})
			v.server.restart()
			<-v.losses
			time.Sleep(20 * time.Millisecond)
			return v.dial(t, true)
		}, want: true},
		"the server started again, its end is not read yet": {play: func(t *testing.T, v *contactVM) *serverConn {
			v.withholds(v.dial(t, false), choice{})
			v.server.restart()
			return v.dial(t, false)
		}, want: true},
		"one of its connections ended, another is open": {play: func(t *testing.T, v *contactVM) *serverConn {
			v.withholds(v.dial(t, false), choice{})
			v.withholds(v.dial(t, false), choice{})
			v.server.conns[0].Close()
			return v.dial(t, false)
		}},
		"chosen long ago": {
			chosen: func() choice { return choice{at: time.Now().Add(-2 * time.Second)} },
			play:   func(t *testing.T, v *contactVM) *serverConn { return v.dial(t, true) },
			want:   true,
		},
		"chosen long ago, the connection is older": {
			chosen: func() choice { return choice{at: time.Now().Add(-2 * time.Second)} },
			play: func(t *testing.T, v *contactVM) *serverConn {
				c := v.dial(t, true)
				c.openedAt = time.Now().Add(-3 * time.Second)
				return c
			},
		},
		"chosen long ago, the server has closed an older connection": {
			chosen: func() choice { return choice{at: time.Now().Add(-2 * time.Second)} },
			play: func(t *testing.T, v *contactVM) *serverConn {
				c := v.dial(t, false)
				c.openedAt = time.Now().Add(-3 * time.Second)
				v.server.restart()
				return c
			},
			want: true,
		},
		"a cold one, chosen a while ago, the connection is older": {
			chosen: func() choice { return choice{at: time.Now().Add(-time.Second), cold: true} },
			play: func(t *testing.T, v *contactVM) *serverConn {
				c := v.dial(t, true)
				c.openedAt = time.Now().Add(-3 * time.Second)
				return c
			},
			want: true,
		},
		"a cold one, chosen a while ago": {
			chosen: func() choice { return choice{at: time.Now().Add(-time.Second), cold: true} },
			play:   func(t *testing.T, v *contactVM) *serverConn { return v.dial(t, true) },
			want:   true,
		},
		"granted by an owner": {
			chosen: func() choice { return choice{} },
			play: func(t *testing.T, v *contactVM) *serverConn {
				v.withholds(v.dial(t, false), choice{})
				v.server.restart()
				return v.dial(t, false)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			chosen := choice{at: time.Now()}
			if test.chosen != nil {
				chosen = test.chosen()
			}
			if got := v.withholds(test.play(t, v), chosen); got != test.want {
				t.Errorf("withheld: %v, want %v", got, test.want)
			}
		})
	}
}

func TestIdleTimeoutThatAServerDoesNotStateIsLearned(t *testing.T) {
	const timeout = 800 * time.Millisecond
	tests := map[string]struct {
		idle []time.Duration // at the ends of connections, one after the other
		cold bool            // the server says so each time
		want int             // losses of contact
	}{
		"the same each time":             {idle: []time.Duration{timeout, timeout + 20*time.Millisecond, timeout, timeout}, want: 2},
		"longer, then the same":          {idle: []time.Duration{3 * time.Second, timeout, timeout, timeout}, want: 3},
		"the last one is shorter":        {idle: []time.Duration{timeout, timeout, timeout / 2}, want: 3},
		"another one each time":          {idle: []time.Duration{timeout, 2 * timeout, timeout, 2 * timeout}, want: 4},
		"answers that the server cuts":   {idle: []time.Duration{time.Millisecond, time.Millisecond, time.Millisecond}, want: 3},
		"the server starts again always": {idle: []time.Duration{timeout, timeout, timeout}, cold: true, want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			for i, idle := range test.idle {
				c := v.dial(t, true)
				v.withholds(c, choice{at: time.Now()})
				c.noteByte(time.Now().Add(-idle))
				v.server.conns[i].Close()
				v.awaitEnd(t, c)
				v.noteState(v.server.address, !test.cold)
			}
			v.wantLosses(t, test.want)
		})
	}
}

func TestAgeOfLastByteKeepsItsMonotonicClock(t *testing.T) {
	v := newContactVM(t)
	last := v.dial(t, false).lastByte()
	if last.Round(0) == last {
		t.Errorf("%v has no monotonic clock: a step of the clock changes its age", last)
	}
}

func TestConnectionOpenedAfterAPauseIsNoOldContact(t *testing.T) {
	v := newContactVM(t)
	v.dial(t, false)
	paused := time.Now()
	if open := v.alive(paused); len(open) != 1 {
		t.Errorf("open to %v, want the server", open)
	}
	v.server.restart()
	v.dial(t, false)
	if open := v.alive(paused); len(open) != 0 {
		t.Errorf("open to %v since before the pause, want none", open)
	}
}

func TestServerThatStartedAgainWhileNoConnectionWasOpenIsDoubtedAfterOneRequest(t *testing.T) {
	v := newContactVM(t)
	c := v.dial(t, true)
	v.withholds(c, choice{at: time.Now()})
	c.noteAnswer(&http.Response{Close: true})
	v.server.conns[0].Close()
	v.wantLosses(t, 0)
	v.server.restart()
	for range 10 {
		v.withholds(v.dial(t, true), choice{at: time.Now()})
	}
	v.wantLosses(t, 1)
}

func TestNewConnectionWhereNoneWasOpenIsToldOnlyIfTheServerMayHaveStartedAgain(t *testing.T) {
	tests := map[string]struct {
		play func(*testing.T, *contactVM) *serverConn // that the request is sent on
		want int                                      // losses of contact
	}{
		"all ended as stated": {func(t *testing.T, v *contactVM) *serverConn {
			return v.dial(t, true)
		}, 1},
		"another one is open": {func(t *testing.T, v *contactVM) *serverConn {
			v.withholds(v.dial(t, true), choice{})
			return v.dial(t, true)
		}, 1}, // at the other one
		"the last bytes came a moment before it was opened": {func(t *testing.T, v *contactVM) *serverConn {
			c := v.dial(t, true)
			c.openedAt = c.contact.knownAt.Add(minRestartTime / 2)
			return c
		}, 0},
		"it was opened while the last one was": {func(t *testing.T, v *contactVM) *serverConn {
			c := v.dial(t, true)
			c.openedAt = c.contact.knownAt.Add(-time.Second)
			return c
		}, 0},
		"the server has just said that it is warm": {func(t *testing.T, v *contactVM) *serverConn {
			v.noteState(v.server.address, true)
			return v.dial(t, true)
		}, 0},
		"the server has just said that it is cold": {func(t *testing.T, v *contactVM) *serverConn {
			v.noteState(v.server.address, false)
			return v.dial(t, true)
		}, 1},
		"one that it was asked on is still open": {func(t *testing.T, v *contactVM) *serverConn {
			v.dial(t, true)
			v.noteState(v.server.address, true)
			v.find(v.server.address).warmEnd = time.Time{}
			time.Sleep(2 * minRestartTime)
			return v.dial(t, true)
		}, 0},
		"the VM remembers it for some minutes": {func(t *testing.T, v *contactVM) *serverConn {
			k := v.find(v.server.address)
			k.usedAt, v.pruneDue = time.Now().Add(-2*pruneInterval), time.Time{}
			return v.dial(t, true)
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := newContactVM(t)
			first := v.dial(t, true)
			v.withholds(first, choice{at: time.Now()})
			first.noteAnswer(&http.Response{Close: true})
			v.server.conns[0].Close()
			v.awaitEnd(t, first)
			time.Sleep(2 * minRestartTime)
			c := test.play(t, v)
			told, early := len(v.losses), choice{at: time.Now()}
			if v.withholds(c, early) {
				t.Error("the request is withheld")
			}
			v.wantLosses(t, test.want)
			if got := v.withholds(v.dial(t, true), early); got != (test.want > told) {
				t.Errorf("another one, chosen as early, is withheld: %v", got)
			}
		})
	}
}
