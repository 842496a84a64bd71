package callerhttp

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

const (
	// fewEntries is the number of entries below which a list is filled up from
	// farther away, so that a caller has another one to try.
	fewEntries = 2
	// learnTime is how long a VM that started may lack entries of its own failure
	// domain: some rounds of gossip.
	learnTime = 3 * time.Second
	// listKeep is how long callers may keep a list, and learn of a lost entry.
	listKeep = 2 * time.Second
	// startingKeep is the same for a list that lacks entries about to be ready.
	startingKeep = 500 * time.Millisecond
)

// EntryList is a list of entries for callers.
type EntryList struct {
	Entries []string      // host:port
	TTL     time.Duration // for which a caller may use the list
}

// ListNearby lists entries for callers of a failure domain: its own, those of its region
// where few of its own follow a document, and those of other regions where few of the
// region do.
//
// It answers restarts of many VMs at once: callers keep the connections that they open
// then, so a list of the first entries known to be ready would send all callers to
// these. A VM that has just started therefore names the whole region, and also entries
// not known to be ready: where it has a document, they have it within a round trip, and
// that is known here a second later.
func ListNearby(view *reducer.View, region, domain string, most int, now time.Time) EntryList {
	if view == nil || !view.Ready {
		return EntryList{}
	}
	learning := now.Sub(view.StartedAt) < learnTime
	var own, near, far group
	for _, d := range view.Domains {
		switch {
		case !d.Alive:
		case d.Name == domain:
			own.add(d, learning)
		case d.Region == region:
			near.add(d, learning)
		default:
			far.add(d, learning)
		}
	}
	keep := listKeep
	if learning || own.starts() {
		keep = startingKeep
	}
	if learning || !own.suffices() {
		own.join(near)
	}
	if !own.suffices() {
		own.join(far)
	}
	return EntryList{Entries: own.entries[:min(most, len(own.entries))], TTL: keep}
}

// group is the entries of some failure domains.
type group struct {
	entries []string // that may be named
	others  int      // that follow no document yet
}

func (g *group) add(d reducer.ViewDomain, learning bool) {
	g.entries = append(g.entries, d.Entries...)
	if learning {
		g.entries = append(g.entries, d.Starting...)
		return
	}
	g.others += len(d.Starting)
}

func (g *group) join(farther group) {
	g.entries = append(g.entries, farther.entries...)
	g.others += farther.others
}

// starts reports whether most of the entries are about to be ready.
func (g *group) starts() bool { return len(g.entries) < g.others }

// suffices reports whether there is a choice of entries, and half of all are ready.
func (g *group) suffices() bool { return len(g.entries) >= fewEntries && !g.starts() }
