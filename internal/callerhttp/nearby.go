package callerhttp

import (
	"slices"
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
	// incompleteListTTL is the TTL of a list that lacks entries: callers have no second
	// one to try, or others are about to become ready.
	incompleteListTTL = 500 * time.Millisecond
)

// EntryList is a list of entries for callers.
type EntryList struct {
	Entries []string      // host:port
	TTL     time.Duration // for which a caller may use the list
	Far     bool          // with entries of regions that the routes of the host do not allow
}

// NearbyQuery is what a caller tells about itself in a look-up of entries near it.
type NearbyQuery struct {
	Host   string // of its requests; a port is ignored
	Region string
	Domain string // failure domain
}

// ListNearby lists entries for callers of a failure domain: those of the domain, with
// the rest of the region where too few of the domain are ready, and with the other
// regions that all routes of the host allow where too few of the region are ready.
// Entries of further regions are listed only where no other one is ready: a caller
// is served there, by servers of regions that its route allows, and not without.
//
// When many VMs restart at once, callers keep the connections that they open then, so
// a list of only the first entries known to be ready would send all callers to these.
// A VM that has just started therefore lists the whole region, and also entries not
// known to be ready: once this VM has a document, they have it within a round trip,
// and this VM learns of that a second later.
func ListNearby(view *reducer.View, q NearbyQuery, limit int, now time.Time) EntryList {
	if view == nil || !view.Ready {
		return EntryList{}
	}
	startingUp := now.Sub(view.StartedAt) < gossipStartupTime
	allowed, limited := view.Document.Routes.RegionsOf(q.Host)
	var listed, sameRegion, allowedRegions, forbiddenRegions entryGroup
	for _, d := range view.Domains {
		switch {
		case !d.Alive:
		case d.Name == q.Domain:
			listed.add(d, startingUp)
		case d.Region == q.Region:
			sameRegion.add(d, startingUp)
		case !limited || slices.Contains(allowed, d.Region):
			allowedRegions.add(d, startingUp)
		default:
			forbiddenRegions.add(d, startingUp)
		}
	}
	ttl := listTTL
	if startingUp || listed.mostlyStarting() {
		ttl = incompleteListTTL
	}
	if startingUp || !listed.sufficient() {
		listed.addGroup(sameRegion)
	}
	if !listed.sufficient() {
		listed.addGroup(allowedRegions)
	}
	far := false
	if !listed.sufficient() && len(forbiddenRegions.entries) > 0 {
		ttl, far = incompleteListTTL, listed.ready == 0
	}
	if far {
		listed.addGroup(forbiddenRegions)
	}
	return EntryList{Entries: listed.entries[:min(limit, len(listed.entries))], TTL: ttl, Far: far}
}

// entryGroup holds the entries of some failure domains.
type entryGroup struct {
	entries  []string // to list
	ready    int      // of entries, known to take callers
	starting int      // entries left out, as they take no callers yet
}

func (g *entryGroup) add(d reducer.ViewDomain, includeStarting bool) {
	g.entries = append(g.entries, d.Entries...)
	g.ready += len(d.Entries)
	if includeStarting {
		g.entries = append(g.entries, d.Starting...)
		return
	}
	g.starting += len(d.Starting)
}

func (g *entryGroup) addGroup(other entryGroup) {
	g.entries = append(g.entries, other.entries...)
	g.ready += other.ready
	g.starting += other.starting
}

// mostlyStarting reports whether more than half of the entries are not ready yet.
func (g *entryGroup) mostlyStarting() bool { return len(g.entries) < g.starting }

// sufficient reports whether callers have a choice of entries, and at least half of
// all are ready.
func (g *entryGroup) sufficient() bool { return len(g.entries) >= minEntries && !g.mostlyStarting() }
