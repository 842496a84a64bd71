package standin

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Fault is a way in which a server answers wrongly. A request whose path ends in the
// fault's name gets such an answer.
type Fault string

// The faults.
const (
	EndlessHead     Fault = "endless-head"     // header lines without end, as fast as they are read
	TrickledHead    Fault = "trickled-head"    // the same, a line every trickleInterval
	EndlessBytes    Fault = "endless-bytes"    // bytes that are no HTTP, without end
	EndlessBody     Fault = "endless-body"     // a body without length or end
	EndlessChunks   Fault = "endless-chunks"   // a chunked body without end
	TrickledRefusal Fault = "trickled-refusal" // a complete head of a refusal, and a body that never ends
	SecondCopy      Fault = "second-copy"      // a good answer, and a copy of it after secondCopyDelay
	HalfBody        Fault = "half-body"        // a good head, and half of the body that it announces
	StatusZero      Fault = "status-000"       // an answer whose status is 000
	StatusSwitching Fault = "status-101"       // a switch to another protocol that nobody asked for
	StatusTooHigh   Fault = "status-600"       // an answer whose status is above all of HTTP
	EndlessInterim  Fault = "endless-interim"  // interim answers without end and no final one
	BlankInName     Fault = "name-blank"       // a good answer but for a field whose name holds a blank
	ControlInName   Fault = "name-control"     // the same with a control byte
	LengthBlank     Fault = "length-blank"     // a length whose name ends in a blank, and more bytes than it says
	CodingBlank     Fault = "coding-blank"     // a body in chunks; the name of the coding's field ends in a blank
)

// Faults lists all faults.
var Faults = []Fault{EndlessHead, TrickledHead, EndlessBytes, EndlessBody, EndlessChunks, TrickledRefusal, SecondCopy, HalfBody, StatusZero, StatusSwitching, StatusTooHigh, EndlessInterim, BlankInName, ControlInName, LengthBlank, CodingBlank}

// HasBadHead reports whether the answer is whole but for its head, which the grammar of HTTP does not allow.
func (f Fault) HasBadHead() bool {
	switch f {
	case StatusZero, StatusSwitching, StatusTooHigh, BlankInName, ControlInName, LengthBlank, CodingBlank:
		return true
	}
	return false
}

const (
	trickleInterval = 100 * time.Millisecond
	secondCopyDelay = 30 * time.Millisecond
	faultBlockBytes = 32 << 10
)

// FaultOf returns the fault that a path asks for, or "".
func FaultOf(path string) Fault {
	for _, f := range Faults {
		if strings.HasSuffix(path, "/"+string(f)) {
			return f
		}
	}
	return ""
}

// Answer sends the faulty answer and returns when the peer has closed the connection.
// The header is that of a good answer. refusal is the header line by which the server
// says that it did not run the request, or "".
func (f Fault) Answer(w http.ResponseWriter, header http.Header, refusal string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var head bytes.Buffer
	header.Write(&head)
	send := func(text string) bool {
		_, err := conn.Write([]byte(text))
		return err == nil
	}
	repeat := func(block string, pause time.Duration) {
		for send(block) {
			time.Sleep(pause)
		}
	}
	const body = "the body of an answer"
	good := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head.String(), len(body), body)
	line := "Padding: " + strings.Repeat("x", faultBlockBytes) + "\r\n"
	switch f {
	case EndlessHead:
		send("HTTP/1.1 200 OK\r\n" + head.String())
		repeat(line, 0)
	case TrickledHead:
		send("HTTP/1.1 200 OK\r\n" + head.String())
		repeat("Padding: x\r\n", trickleInterval)
	case EndlessBytes:
		repeat(strings.Repeat("\x00\xffx", faultBlockBytes/3), 0)
	case EndlessBody:
		send("HTTP/1.1 200 OK\r\n" + head.String() + "\r\n")
		repeat(strings.Repeat("x", faultBlockBytes), 0)
	case EndlessChunks:
		send("HTTP/1.1 200 OK\r\n" + head.String() + "Transfer-Encoding: chunked\r\n\r\n")
		repeat(fmt.Sprintf("%x\r\n%s\r\n", faultBlockBytes, strings.Repeat("x", faultBlockBytes)), 0)
	case TrickledRefusal:
		send(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s%s\r\nContent-Length: 1000\r\n\r\n", head.String(), refusal))
		repeat("x", trickleInterval)
	case SecondCopy:
		send(good)
		time.Sleep(secondCopyDelay)
		send(good)
		buffer := make([]byte, faultBlockBytes)
		for _, err := conn.Read(buffer); err == nil; _, err = conn.Read(buffer) {
			send(good)
		}
	case StatusZero, StatusSwitching, StatusTooHigh:
		send(strings.Replace(good, "200 OK", strings.TrimPrefix(string(f), "status-")+" Odd", 1))
	case BlankInName:
		send(strings.Replace(good, "Content-Length", "Odd Name: x\r\nContent-Length", 1))
	case ControlInName:
		send(strings.Replace(good, "Content-Length", "Odd\x01Name: x\r\nContent-Length", 1))
	case LengthBlank:
		send(strings.Replace(good, "Content-Length", "Content-Length ", 1) + "of another answer")
	case CodingBlank:
		send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head.String(), len(body), body))
	case EndlessInterim:
		repeat("HTTP/1.1 102 Processing\r\n\r\n", trickleInterval)
	case HalfBody:
		send(good[:len(good)-len(body)/2])
	}
}
