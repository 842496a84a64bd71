package node

import (
	"errors"
	"strings"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

const maxLibraryText = 160 // bytes of a message of net/http that are logged

// libraryLog logs what net/http reports by itself as an event of a VM.
type libraryLog struct{ node *Node }

// Write implements io.Writer. net/http quotes what a server sent after its reason; such bytes may be
// of an answer's body and are left out.
func (l libraryLog) Write(text []byte) (int, error) {
	message, _, _ := strings.Cut(strings.TrimSpace(string(text)), " starting with ")
	l.node.LogError(reducer.CodeLibraryMessage, errors.New(message[:min(len(message), maxLibraryText)]))
	return len(text), nil
}

// LibraryLog returns the writer to which a process with one VM directs the log of its libraries:
// by default that goes to standard error, and waits for its reader.
func (n *Node) LibraryLog() libraryLog { return libraryLog{n} }
