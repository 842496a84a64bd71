package standin

import (
	"bufio"
	"net"
	"net/http"
)

// ServeRaw serves the connections of a listener until that is closed. The function writes the answer to a
// request, whose body is unread, byte by byte, and returns whether the connection stays open.
func ServeRaw(listener net.Listener, answer func(conn *net.TCPConn, r *http.Request) bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil || !answer(conn.(*net.TCPConn), r) {
					return
				}
			}
		}()
	}
}
