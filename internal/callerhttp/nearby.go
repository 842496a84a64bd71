package callerhttp

import (
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

const (
	// minEntries is the number of entries below which a list is filled up with more
	// distant ones, so that a caller has a second one to try.
	minEntries = 2
	// gossipStartupTime is how long after its start a VM may still lack entries of
	// its own failure domain: a few rounds of gossip.
	gossipStartupTime = 3 * time.Second
	// listTTL is how long callers may use a list, and so the longest time until they
	// learn of a failed entry.
	listTTL = 2 * time.Second
	// startingListTTL is the TTL of a list while entries are about to become ready.
	startingListTTL = 500 * time.Millisecond
)

// EntryList is a list of entries for callers.
type EntryList struct {
	Entries []string      // host:port
	TTL     time.Duration // for which a caller may use the list
}

// ListNearby lists entries for callers of a failure domain: those of the domain, with
// the rest of the region where too few of the domain are ready, and with the other
// regions where too few of the region are ready.
//
// When many VMs restart at once, callers keep the connections that they open then, so
// a list of only the first entries known to be ready would send all callers to these.
// A VM that has just started therefore lists the whole region, and also entries not
// known to be ready: once this VM has a document, they have it within a round trip,
// and this VM learns of that a second later.
func ListNearby(view *reducer.View, region, domain string, limit int, now time.Time) EntryList {
	if view == nil || !view.Ready {
		return EntryList{}
	}
	startingUp := now.Sub(view.StartedAt) < gossipStartupTime
	var ownDomain, sameRegion, otherRegions entryGroup
	for _, d := range view.Domains {
		switch {
		case !d.Alive:
		case d.Name == domain:
			ownDomain.add(d, startingUp)
		case d.Region == region:
			sameRegion.add(d, startingUp)
		default:
			otherRegions.add(d, startingUp)
		}
	}
	ttl := listTTL
	if startingUp || ownDomain.mostlyStarting() {
		ttl = startingListTTL
	}
	if startingUp || !ownDomain.sufficient() {
		ownDomain.addGroup(sameRegion)
	}
	if !ownDomain.sufficient() {
		ownDomain.addGroup(otherRegions)
	}
	return EntryList{Entries: ownDomain.entries[:min(limit, len(ownDomain.entries))], TTL: ttl}
}

// entryGroup holds the entries of some failure domains.
type entryGroup struct {
	entries  []string // to list
	starting int      // entries left out, as they have no document yet
}

func (g *entryGroup) add(d reducer.ViewDomain, includeStarting bool) {
	g.entries = append(g.entries, d.Entries...)
	if includeStarting {
		g.entries = append(g.entries, d.Starting...)
		return
	}
	g.starting += len(d.Starting)
}

func (g *entryGroup) addGroup(other entryGroup) {
	g.entries = append(g.entries, other.entries...)
	g.starting += other.starting
}

// mostlyStarting reports whether more than half of the entries are not ready yet.
func (g *entryGroup) mostlyStarting() bool { return len(g.entries) < g.starting }

// sufficient reports whether callers have a choice of entries, and at least half of
// all are ready.
func (g *entryGroup) sufficient() bool { return len(g.entries) >= minEntries && !g.mostlyStarting() }
