package reach

import (
	"cmp"
	"slices"
	"time"
)

// Failure is how the connection to a server failed.
type Failure string

// The failures.
const (
	Refused Failure = "refused" // a new connection was refused or reset
	Late    Failure = "late"    // a new connection did not come in time
	Broken  Failure = "broken"  // an open connection broke before the answer
)

// Times and counts of the evidence.
const (
	evidenceAge = 1500 * time.Millisecond // age up to which a failed connection counts
	minFailing  = 2                       // servers that fail before the way to them, and not the servers, is in doubt
)

// contact is what is known of the connections to one server.
type contact struct {
	address   string
	failedAt  time.Time // of the last failed connection since one was opened
	failure   Failure
	timesLost int // failed connections since one was opened
}

// domain is what is known of the servers of one failure domain.
type domain struct {
	name        string
	contacts    []contact // servers with a recent failure, by address
	connectedAt time.Time // last new connection to any of the servers
	answeredAt  time.Time // last answer of any of them, on any connection
	failing     bool      // connections to minFailing of the servers failed
}

// Tracker holds what one VM knows of its ways to backend servers.
type Tracker struct {
	domains []*domain // by name
}

// Change is a change of what is known of the way to a failure domain.
type Change struct {
	Domain  string
	Failing bool
	Servers int           // to which connections failed lately
	Why     Failure       // of the last failed connection; empty if none counts any more
	Silent  time.Duration // since the last answer of any server of the domain; -1 if there was none
}

func (t *Tracker) find(name string) *domain {
	at, found := slices.BinarySearchFunc(t.domains, name, func(d *domain, name string) int { return cmp.Compare(d.name, name) })
	if !found {
		t.domains = slices.Insert(t.domains, at, &domain{name: name})
	}
	return t.domains[at]
}

// Connected notes a new connection to a server.
func (t *Tracker) Connected(name, address string, now time.Time) {
	d := t.find(name)
	d.connectedAt = now
	d.contacts = slices.DeleteFunc(d.contacts, func(c contact) bool { return c.address == address })
}

// Answered notes an answer of a server of the failure domain.
func (t *Tracker) Answered(name string, now time.Time) { t.find(name).answeredAt = now }

// Failed notes a connection to a server that failed.
func (t *Tracker) Failed(name, address string, failure Failure, now time.Time) {
	d := t.find(name)
	at, found := slices.BinarySearchFunc(d.contacts, address, func(c contact, address string) int { return cmp.Compare(c.address, address) })
	if !found {
		d.contacts = slices.Insert(d.contacts, at, contact{address: address})
	}
	c := &d.contacts[at]
	c.failedAt, c.failure = now, failure
	c.timesLost++
}

// Tick returns the changes since the last call.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for _, d := range t.domains {
		d.contacts = slices.DeleteFunc(d.contacts, func(c contact) bool { return now.Sub(c.failedAt) > evidenceAge })
		failing := len(d.contacts) >= minFailing
		if failing == d.failing {
			continue
		}
		d.failing = failing
		changes = append(changes, d.change(now))
	}
	return changes
}

func (d *domain) change(now time.Time) Change {
	c := Change{Domain: d.name, Failing: d.failing, Servers: len(d.contacts), Silent: -1}
	if !d.answeredAt.IsZero() {
		c.Silent = now.Sub(d.answeredAt)
	}
	last := time.Time{}
	for _, known := range d.contacts {
		if known.failedAt.After(last) {
			last, c.Why = known.failedAt, known.failure
		}
	}
	return c
}
