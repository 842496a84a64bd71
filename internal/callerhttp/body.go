package callerhttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// inboundBody is the body of a caller's request. Its first bytes are kept and can be sent
// again; what follows them can be read once, and only by the latest send: an earlier one
// may still be writing when its answer has come.
type inboundBody struct {
	prefix []byte
	rest   io.Reader // nil if the prefix is the whole body

	reading  sync.Mutex // held while a send reads the rest
	mutex    sync.Mutex // guards the fields below
	latest   *sendBody
	restUsed bool
	awaited  bool // a send waits for bytes of the caller
	failed   bool // the caller's bytes did not come whole
	ended    bool // all of the rest was read
}

var (
	errBodyUsed  = errors.New("the end of the body was read for an earlier send")
	errBodyTaken = errors.New("a later send has the body")
)

// complete reports whether the whole body is kept.
func (b *inboundBody) complete() bool { return b.rest == nil }

// open returns the body for another send, or errBodyUsed if a part of it is gone. Earlier
// ones can't read what is not kept from then on. The type of the reader is not one that
// net/http can read twice, so that it never retries a request by itself.
func (b *inboundBody) open() (io.ReadCloser, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.restUsed {
		return nil, errBodyUsed
	}
	b.latest = &sendBody{body: b, prefix: bytes.NewReader(b.prefix)}
	return b.latest, nil
}

// used reports whether the body can't be sent again.
func (b *inboundBody) used() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.restUsed
}

// sendBody is the body of one send.
type sendBody struct {
	body   *inboundBody
	prefix *bytes.Reader
}

// Read implements io.Reader.
func (s *sendBody) Read(p []byte) (int, error) {
	if s.prefix.Len() > 0 {
		return s.prefix.Read(p)
	}
	if s.body.rest == nil {
		return 0, io.EOF
	}
	s.body.reading.Lock()
	defer s.body.reading.Unlock()
	if !s.takeRest() {
		return 0, errBodyTaken
	}
	s.body.noteRead(true, nil)
	n, err := s.body.rest.Read(p)
	s.body.noteRead(false, err)
	return n, err
}

const bodyEndTime = 500 * time.Millisecond // for the caller's next bytes, where a send waits for them

// finishBody ends the reads of sends. A send may go on reading after the answer; with full duplex,
// net/http panics if one ends while it waits for the next request.
func (in *inbound) finishBody() {
	b := &in.body
	if b.rest == nil {
		return
	}
	b.mutex.Lock()
	b.latest = nil
	b.mutex.Unlock()
	if !b.reading.TryLock() {
		control := http.NewResponseController(in.writer)
		// Errors mean that the connection has ended, and so does the read.
		_ = control.Flush()
		_ = control.SetReadDeadline(in.relay.Node.Clock.Now().Add(bodyEndTime))
		b.reading.Lock()
	}
	b.reading.Unlock()
}

func (b *inboundBody) noteRead(awaited bool, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.awaited = awaited
	b.ended = b.ended || errors.Is(err, io.EOF)
	b.failed = b.failed || err != nil && !errors.Is(err, io.EOF)
}

// isUnread reports whether a part of the body was not read yet.
func (b *inboundBody) isUnread() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.rest != nil && !b.ended
}

// streamWriter is the writer of an answer to a request whose body is streamed. An answer that begins
// before the end of the body ends the connection: with full duplex, net/http panics at the next request
// on it if it meets the end of the body itself, after the handler.
type streamWriter struct {
	http.ResponseWriter
	body *inboundBody
}

// WriteHeader implements http.ResponseWriter.
func (w *streamWriter) WriteHeader(status int) {
	if w.body.isUnread() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// isMissing reports whether a send that ended so has no answer for want of the caller's bytes: they
// did not come whole, or were still awaited at the deadline.
func (b *inboundBody) isMissing(result routing.Result) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.failed || b.awaited && result == routing.ResultTimeout
}

func (s *sendBody) takeRest() bool {
	s.body.mutex.Lock()
	defer s.body.mutex.Unlock()
	if s.body.latest != s {
		return false
	}
	s.body.restUsed = true
	return true
}

// Close implements io.Closer.
func (s *sendBody) Close() error { return nil }
