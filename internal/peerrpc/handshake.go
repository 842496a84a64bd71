package peerrpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	handshakeTimeout = 3 * time.Second
	nonceBytes       = 32
	protocolVersion  = 1
)

// ErrWrongKey tells that the other end does not hold the site's key.
var ErrWrongKey = errors.New("peer does not hold the site's key")

var errVersion = errors.New("peer speaks another version of the protocol")

// hello opens a connection from either end.
type hello [1 + nonceBytes]byte

func newHello() (hello, error) {
	var h hello
	h[0] = protocolVersion
	_, err := rand.Read(h[1:])
	return h, err
}

func proof(key []byte, role string, client, server hello) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(client[:])
	mac.Write(server[:])
	return mac.Sum(nil)
}

// shake runs the handshake on one end: both send a hello, then the proof of
// their role; each proof covers both hellos, so none can be replayed.
func shake(conn net.Conn, key []byte, own, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set handshake deadline: %w", err)
	}
	mine, err := newHello()
	if err != nil {
		return fmt.Errorf("make hello: %w", err)
	}
	if _, err := conn.Write(mine[:]); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}
	var theirs hello
	if _, err := io.ReadFull(conn, theirs[:]); err != nil {
		return fmt.Errorf("read hello: %w", err)
	}
	if theirs[0] != protocolVersion {
		return errVersion
	}
	client, server := mine, theirs
	if own == roleServer {
		client, server = theirs, mine
	}
	if err := exchange(conn, proof(key, own, client, server), proof(key, other, client, server)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func exchange(conn net.Conn, mine, want []byte) error {
	if _, err := conn.Write(mine); err != nil {
		return fmt.Errorf("send proof: %w", err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil {
		return fmt.Errorf("read proof: %w", err)
	}
	if !hmac.Equal(got, want) {
		return ErrWrongKey
	}
	return nil
}

const (
	roleClient = "client"
	roleServer = "server"
)
