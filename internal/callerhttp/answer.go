package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

const (
	maxAnswerHeadBytes = 64 << 10 // a faulty server may send a head without end
	interimLineBytes   = 20       // of an interim answer besides its fields, at least
	maxNamedBytes      = 64       // of a field name in an error
)

var (
	errBadStatus    = errors.New("no final status of HTTP")
	errBadFieldName = errors.New("no field name of HTTP")
	errEndlessHead  = errors.New("the interim answers are too long")
)

// answerReader reads the answer to one request, and refuses what the grammar of HTTP/1.1 (RFC 9112) does
// not allow and net/http takes: any three digits as a status, and field names with blanks. A length or a
// coding whose name ends in a blank has not delimited the body. The connection of a refused answer is
// closed, and no other request uses it meanwhile.
type answerReader struct {
	conn         atomic.Pointer[serverConn] // held for this answer; nil for none
	interimBytes atomic.Int64
}

// readAnswer sends a request to a server or another VM, and returns the answer once its head was checked.
// The trailer is checked at the end of the body. The trace may not be in use for another request.
func readAnswer(ctx context.Context, transport http.RoundTripper, request *http.Request, trace *httptrace.ClientTrace) (*http.Response, error) {
	a := &answerReader{}
	gotConn := trace.GotConn
	trace.GotConn = func(info httptrace.GotConnInfo) {
		a.begin(info)
		if gotConn != nil {
			gotConn(info)
		}
	}
	trace.Got1xxResponse = a.checkInterim
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		a.end()
		return nil, err
	}
	if err := checkHead(response); err != nil {
		response.Body.Close()
		a.refuse()
		return nil, err
	}
	if len(response.TransferEncoding) == 0 || response.Body == http.NoBody {
		a.end()
		return response, nil
	}
	response.Body = &checkedBody{ReadCloser: response.Body, answer: a, response: response}
	return response, nil
}

// begin waits until the answer before on the connection has been checked: net/http offers a connection
// for the next request before it returns an answer without a body, or the end of a body.
func (a *answerReader) begin(info httptrace.GotConnInfo) {
	a.end() // net/http may send a request again on another connection
	if conn, ok := info.Conn.(*serverConn); ok {
		conn.answering.Lock()
		a.conn.Store(conn)
	}
}

// end allows the next request on the connection.
func (a *answerReader) end() {
	if conn := a.conn.Swap(nil); conn != nil {
		conn.answering.Unlock()
	}
}

// refuse closes the connection.
func (a *answerReader) refuse() {
	if conn := a.conn.Load(); conn != nil {
		conn.answerRefused.Store(true)
		conn.Close() // an error means that it is closed
	}
	a.end()
}

// checkInterim checks an interim answer. net/http bounds the bytes of interim answers only where nobody
// is told of them.
func (a *answerReader) checkInterim(_ int, header textproto.MIMEHeader) error {
	size := interimLineBytes
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if a.interimBytes.Add(int64(size)) > maxAnswerHeadBytes {
		return errEndlessHead
	}
	return checkFieldNames("an interim answer", http.Header(header))
}

func checkHead(response *http.Response) error {
	if status := response.StatusCode; status < http.StatusOK || status > 599 {
		return fmt.Errorf("the answer has status %03d: %w", status, errBadStatus)
	}
	return checkFieldNames("the answer", response.Header)
}

func checkFieldNames(where string, header http.Header) error {
	for name, values := range header {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%s has a field %q: %w", where, name[:min(len(name), maxNamedBytes)], errBadFieldName)
		}
	}
	return nil
}

// checkedBody is a body in chunks, after which a trailer may follow.
type checkedBody struct {
	io.ReadCloser
	answer   *answerReader
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := checkFieldNames("the trailer of the answer", b.response.Trailer); trailerErr != nil {
			err = trailerErr
			b.answer.refuse()
		}
	}
	if err != nil {
		b.answer.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *checkedBody) Close() error {
	err := b.ReadCloser.Close()
	b.answer.end()
	return err
}
