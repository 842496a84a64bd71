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

// ErrWrongKey reports that the other end does not hold the site's key.
var ErrWrongKey = errors.New("peer does not hold the site's key")

var errVersion = errors.New("peer uses another version of the peer protocol")

// hello is the first message from either end: the protocol version and a nonce.
type hello [1 + nonceBytes]byte

func newHello() (hello, error) {
	var h hello
	h[0] = protocolVersion
	_, err := rand.Read(h[1:])
	return h, err
}

// computeProof returns the HMAC of a role and both hellos under the site's key.
func computeProof(key []byte, role string, client, server hello) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(client[:])
	mac.Write(server[:])
	return mac.Sum(nil)
}

// handshake runs one end of the handshake and returns the role of the other end, one of the
// given ones. Both ends send a hello, then the proof for their role. Each proof covers both
// hellos, so it can't be replayed.
func handshake(conn net.Conn, key []byte, ownRole string, otherRoles ...string) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", fmt.Errorf("set handshake deadline: %w", err)
	}
	ownHello, err := newHello()
	if err != nil {
		return "", fmt.Errorf("create hello: %w", err)
	}
	if _, err := conn.Write(ownHello[:]); err != nil {
		return "", fmt.Errorf("send hello: %w", err)
	}
	var otherHello hello
	if _, err := io.ReadFull(conn, otherHello[:]); err != nil {
		return "", fmt.Errorf("read hello: %w", err)
	}
	if otherHello[0] != protocolVersion {
		return "", errVersion
	}
	client, server := ownHello, otherHello
	if ownRole == roleServer {
		client, server = otherHello, ownHello
	}
	if _, err := conn.Write(computeProof(key, ownRole, client, server)); err != nil {
		return "", fmt.Errorf("send proof: %w", err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return "", fmt.Errorf("read proof: %w", err)
	}
	for _, role := range otherRoles {
		if hmac.Equal(proof, computeProof(key, role, client, server)) {
			return role, conn.SetDeadline(time.Time{})
		}
	}
	return "", ErrWrongKey
}

const (
	roleClient    = "client"
	roleForwarder = "forwarder" // a client that passes callers' requests on, by HTTP
	roleServer    = "server"
)
