package callerhttp

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heatherwood/heatherwood/internal/clock"
)

// A server that starts again at its address is cold, and nobody may know yet. What a VM can
// know by itself are its connections: a new process has none of those to the process before it.

// contacts follows the connections of this VM to each server.
type contacts struct {
	clock clock.Clock
	base  time.Time // times of bytes are kept as distances from it, which no step of the clock changes

	// onLost is told that no connection to an address is left, of which the last one ended
	// without an explanation, or that one is used after a time without any. Once it returns, requests
	// are sent there with that in mind.
	onLost func(address, why string)

	mutex     sync.Mutex
	byAddress map[string]*contact
	pruneDue  time.Time
}

// contact holds the connections to one address.
type contact struct {
	address string
	open    map[*serverConn]struct{} // that are not known to have ended
	lostAt  time.Time                // when onLost last returned
	telling int                      // calls of onLost that run

	keepAlive time.Duration // for which the server keeps an idle connection, as it says or does; 0 if unknown
	idleEnd   time.Duration // for which the connection was idle whose end was last not explained; 0 if it was not
	warmIdle  time.Duration // idleEnd before the last answer that the server is warm
	usedAt    time.Time

	knownAt time.Time // last bytes on a connection with requests that has ended, or last answer that the server is warm
	warmEnd time.Time // until then it is not asked again; see noteState
}

// whyNoneOpen is the cause of a possible restart between two connections.
const whyNoneOpen = "none was open"

const (
	pruneInterval   = time.Minute             // between two looks for contacts that nobody uses
	contactMemory   = 10 * time.Minute        // for which a contact that nobody uses is kept: its server may start again unnoticed
	minRestartTime  = 20 * time.Millisecond   // between the last bytes of a process and the first connection to the next one, at least
	warmAnswerAge   = 2 * time.Second         // of an answer that the server is warm, up to which it is not asked again because of a new connection
	vouchAge        = 2 * time.Second         // age of the last bytes up to which a connection shows that the server lives
	idleCloseMargin = time.Second             // by which a server may close an idle connection before the time that it states, at most
	minIdleTimeout  = 200 * time.Millisecond  // that a server may have without stating it
	idleClosePart   = 4                       // of the time that it states, which the margin is at most
	maxChoiceAge    = 1200 * time.Millisecond // of a choice of a server; connecting takes a second at most
	maxColdChoice   = 500 * time.Millisecond  // of the choice of a cold one, so that the sends of one VM keep their distance
)

// choice says when and as what a server was chosen for a request.
type choice struct {
	at   time.Time // zero where another VM has granted the slot
	cold bool
}

func newContacts(clk clock.Clock, onLost func(address, why string)) *contacts {
	return &contacts{clock: clk, base: clk.Now(), onLost: onLost, byAddress: make(map[string]*contact)}
}

// add notes a new connection.
func (c *contacts) add(address string, conn *serverConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.prune()
	k := c.find(address)
	k.usedAt = c.clock.Now()
	k.open[conn] = struct{}{}
	conn.contacts, conn.contact = c, k
	conn.openedAt = k.usedAt
	conn.noteByte(k.usedAt)
}

func (c *contacts) find(address string) *contact {
	k := c.byAddress[address]
	if k == nil {
		k = &contact{address: address, open: make(map[*serverConn]struct{})}
		c.byAddress[address] = k
	}
	return k
}

// prune forgets contacts without connections that were not used for long.
func (c *contacts) prune() {
	now := c.clock.Now()
	if now.Before(c.pruneDue) {
		return
	}
	c.pruneDue = now.Add(pruneInterval)
	for address, k := range c.byAddress {
		if len(k.open) == 0 && k.telling == 0 && now.Sub(k.usedAt) > contactMemory && now.Sub(k.lostAt) > contactMemory {
			delete(c.byAddress, address)
		}
	}
}

// remove notes a connection that this VM has closed.
func (c *contacts) remove(conn *serverConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	conn.contact.drop(conn)
}

// drop forgets a connection that has ended.
func (k *contact) drop(conn *serverConn) {
	if _, open := k.open[conn]; !open {
		return
	}
	delete(k.open, conn)
	if at := conn.lastByte(); conn.used && at.After(k.knownAt) {
		k.knownAt = at
	}
}

// ended notes a connection that the other end has closed or reset.
func (c *contacts) ended(conn *serverConn, why string) {
	c.mutex.Lock()
	if _, open := conn.contact.open[conn]; !open {
		c.mutex.Unlock()
		return
	}
	conn.contact.drop(conn)
	now := c.clock.Now()
	explained := conn.endExplained(now)
	conn.contact.idleEnd = 0
	if idle := now.Sub(conn.lastByte()); !explained && !conn.unanswered.Load() && idle >= minIdleTimeout {
		conn.contact.idleEnd = idle
	}
	vouched, unexplained := c.look(conn.contact, nil)
	c.tell(conn.contact, !vouched && (!explained || unexplained), why)
}

// failed notes that no connection to the address could be opened.
func (c *contacts) failed(address, why string) {
	c.mutex.Lock()
	k := c.find(address)
	k.usedAt = c.clock.Now()
	vouched, _ := c.look(k, nil)
	c.tell(k, !vouched, why)
}

// tell unlocks the mutex, and calls onLost if the contact is lost.
func (c *contacts) tell(k *contact, lost bool, why string) {
	if !lost {
		c.mutex.Unlock()
		return
	}
	k.telling++
	c.mutex.Unlock()
	c.onLost(k.address, why)
	c.mutex.Lock()
	k.telling--
	k.lostAt = c.clock.Now()
	c.mutex.Unlock()
}

// look drops connections that have ended, and reports whether any of these ended without an
// explanation, and whether one of the others, besides that one, vouches for the server: it led to
// the process that the ended ones led to, and still does. One that was not used yet may lead to
// its successor.
func (c *contacts) look(k *contact, besides *serverConn) (vouched, unexplained bool) {
	now := c.clock.Now()
	for conn := range k.open {
		if conn == besides {
			continue
		}
		if closed, err := conn.socket.PeerClosed(); closed || err != nil {
			k.drop(conn)
			unexplained = unexplained || !conn.endExplained(now)
			continue
		}
		vouched = vouched || conn.used && now.Sub(conn.lastByte()) <= vouchAge
	}
	return vouched, unexplained
}

// withholds reports whether a request may not be sent on the connection as it was chosen,
// because of what became known of the server since. It is asked before the first byte is written.
func (c *contacts) withholds(conn *serverConn, chosen choice) bool {
	c.mutex.Lock()
	k := conn.contact
	if !conn.used {
		conn.used = true
		vouched, unexplained := c.look(k, conn)
		lost := !vouched && unexplained
		if !lost && k.telling == 0 && !k.lostAt.After(chosen.at) && k.isRenewedBy(conn, c.clock.Now()) {
			// This request goes on: withholding it would cost the callers of each server that closes idle
			// connections a try. The ones after it wait for what the server says.
			c.tell(k, true, whyNoneOpen)
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return conn.isTooLate(chosen)
		}
		c.tell(k, lost, "closed unnoticed")
		c.mutex.Lock()
	}
	defer c.mutex.Unlock()
	if chosen.at.IsZero() || chosen.cold {
		return conn.isTooLate(chosen)
	}
	return k.telling > 0 || k.lostAt.After(chosen.at) || conn.isTooLate(chosen)
}

// isTooLate reports whether too long has passed since the choice for the request to be sent on the
// connection. One that was opened before the choice leads to the process that was chosen: a transport
// closes a connection on which a request is withheld, and after a pause of the VM it may be the only one
// that shows that the server did not start again.
func (c *serverConn) isTooLate(chosen choice) bool {
	age := c.contacts.clock.Now().Sub(chosen.at)
	switch {
	case chosen.at.IsZero():
		return false
	case chosen.cold:
		return age > maxColdChoice
	case age <= maxChoiceAge:
		return false
	case c.openedAt.After(chosen.at):
		return true
	}
	closed, err := c.socket.PeerClosed()
	return closed || err != nil
}

// isRenewedBy reports whether the connection may lead to another process than the one that the
// connections before it led to: these have all ended, and long enough ago for a restart.
func (k *contact) isRenewedBy(conn *serverConn, now time.Time) bool {
	known := k.knownAt
	if k.lostAt.After(known) {
		known = k.lostAt // a start before that is in doubt already
	}
	if known.IsZero() || conn.openedAt.Sub(known) < minRestartTime || now.Before(k.warmEnd) {
		return false
	}
	for other := range k.open {
		if other != conn && (other.used || !other.openedAt.After(known)) {
			return false
		}
	}
	return true
}

// noteState notes whether the server says that it is warm, after a loss of contact. One that is, and
// that has closed idle connections at the same age twice, does so without having started again.
func (c *contacts) noteState(address string, warm bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	k := c.byAddress[address]
	if k == nil {
		return
	}
	if warm {
		// VMs that asked together ask apart from then on: the first answer that the server is cold is told to all.
		k.knownAt = c.clock.Now()
		k.warmEnd = k.knownAt.Add(warmAnswerAge/2 + rand.N(warmAnswerAge/2))
	}
	if k.idleEnd == 0 {
		return
	}
	idle, before := k.idleEnd, k.warmIdle
	k.idleEnd, k.warmIdle = 0, 0
	if !warm {
		return
	}
	k.warmIdle = idle
	if (idle - before).Abs() <= before/idleClosePart {
		k.keepAlive = min(idle, before)
	}
}

// alive returns the addresses to which a connection is open that was opened before a time.
func (c *contacts) alive(before time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var addresses []string
	for address, k := range c.byAddress {
		for conn := range k.open {
			if !conn.openedAt.Before(before) {
				continue
			}
			if closed, err := conn.socket.PeerClosed(); err == nil && !closed {
				addresses = append(addresses, address)
				break
			}
		}
	}
	return addresses
}

// endExplained reports whether the server was expected to close the connection by now; the mutex
// of the contacts is held.
func (c *serverConn) endExplained(now time.Time) bool {
	if c.closeStated.Load() {
		return true
	}
	kept := c.contact.keepAlive
	margin := min(idleCloseMargin, kept/idleClosePart)
	return !c.unanswered.Load() && kept > 0 && now.Sub(c.lastByte()) >= kept-margin
}

// noteAnswer keeps what the header of an answer says about the end of the connection.
func (c *serverConn) noteAnswer(response *http.Response) {
	if c.contacts == nil {
		return
	}
	if response.Close {
		c.closeStated.Store(true)
	}
	if kept := parseKeepAlive(response.Header.Get("Keep-Alive")); kept > 0 {
		c.contacts.mutex.Lock()
		defer c.contacts.mutex.Unlock()
		c.contact.keepAlive = kept
	}
}

// parseKeepAlive returns the timeout of a Keep-Alive header, or 0 if it has none.
func parseKeepAlive(text string) time.Duration {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// lastByte returns when the other end last sent something, as far as this VM has read it.
func (c *serverConn) lastByte() time.Time {
	return c.contacts.base.Add(time.Duration(c.lastByteAt.Load()))
}

func (c *serverConn) noteByte(at time.Time) { c.lastByteAt.Store(int64(at.Sub(c.contacts.base))) }

// failedToConnect tells the contacts of a connection that was refused.
func (c *contacts) failedToConnect(address string, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		c.failed(address, "refused")
	}
}
