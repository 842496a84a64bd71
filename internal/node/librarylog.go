package node

import (
	"errors"
	"io"
	"strings"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Bytes of a message of net/http that are logged.
const (
	maxLibraryText = 160
	maxPanicText   = 4 << 10 // with the stack of the handler
)

// libraryLog logs what net/http reports by itself as an event of a VM.
type libraryLog struct{ node *Node }

// Write implements io.Writer. net/http quotes what a server sent after its reason; such bytes may be
// of an answer's body and are left out.
func (l libraryLog) Write(text []byte) (int, error) {
	code, limit := reducer.CodeLibraryMessage, maxLibraryText
	message, _, _ := strings.Cut(strings.TrimSpace(string(text)), " starting with ")
	if strings.HasPrefix(message, "http: panic serving") {
		code, limit = reducer.CodePanicRecovered, maxPanicText
	}
	l.node.LogError(code, errors.New(message[:min(len(message), limit)]))
	return len(text), nil
}

// LibraryLog returns the writer to which a process with one VM directs the log of its libraries:
// by default that goes to standard error, and waits for its reader.
func (n *Node) LibraryLog() io.Writer { return libraryLog{n} }
