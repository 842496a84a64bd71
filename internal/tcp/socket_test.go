package tcp

import (
	"net"
	"testing"
	"time"
)

// connect returns both ends of a connection over loopback.
func connect(t *testing.T) (caller, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	return conn.(*net.TCPConn), other.(*net.TCPConn)
}

func TestPeerClosed(t *testing.T) {
	tests := map[string]struct {
		act  func(caller, accepted *net.TCPConn)
		want bool
	}{
		"open":                      {act: func(_, _ *net.TCPConn) {}},
		"open with unread data":     {act: func(caller, _ *net.TCPConn) { caller.Write([]byte("GET")) }},
		"closed":                    {act: func(caller, _ *net.TCPConn) { caller.Close() }, want: true},
		"closed behind unread data": {act: func(caller, _ *net.TCPConn) { caller.Write([]byte("GET")); caller.Close() }, want: true},
		"reset behind unread data": {act: func(caller, _ *net.TCPConn) {
			caller.Write([]byte("GET"))
			caller.SetLinger(0)
			caller.Close()
		}, want: true},
		"closed here": {act: func(_, accepted *net.TCPConn) { accepted.Close() }, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, accepted := connect(t)
			test.act(caller, accepted)
			time.Sleep(20 * time.Millisecond)
			got, err := SocketOf(accepted).PeerClosed()
			if err != nil || got != test.want {
				t.Errorf("closed: %v, %v; want %v", got, err, test.want)
			}
		})
	}
}

func TestSinceDataCountsUnreadData(t *testing.T) {
	const wait = 300 * time.Millisecond
	caller, accepted := connect(t)
	time.Sleep(wait)
	caller.Write([]byte("GET"))
	time.Sleep(wait)
	got, err := SocketOf(accepted).SinceData()
	if err != nil || got < wait-20*time.Millisecond || got >= 2*wait {
		t.Errorf("%v since the last data, %v; want %v", got, err, wait)
	}
}

func TestConnectionWithoutSocket(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	closed, err := SocketOf(a).PeerClosed()
	age, ageErr := SocketOf(a).SinceData()
	if closed || err != nil || age != 0 || ageErr != nil {
		t.Errorf("closed %v, %v; age %v, %v", closed, err, age, ageErr)
	}
}

func TestWasReset(t *testing.T) {
	tests := map[string]struct {
		act  func(caller *net.TCPConn)
		want bool
	}{
		"open":   {act: func(*net.TCPConn) {}},
		"closed": {act: func(caller *net.TCPConn) { caller.Close() }},
		"reset":  {act: func(caller *net.TCPConn) { caller.SetLinger(0); caller.Close() }, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, accepted := connect(t)
			test.act(caller)
			time.Sleep(20 * time.Millisecond)
			if got, err := SocketOf(accepted).WasReset(); err != nil || got != test.want {
				t.Errorf("reset: %v, %v; want %v", got, err, test.want)
			}
		})
	}
}
