package reducer

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// certaintyTime is how recently the control leader must have been heard, and how long since a
// start, a pause or an interruption, for this VM to be sure that its document is in force: a change
// reaches the VMs that hear the leader within this time.
const certaintyTime = 2 * time.Second

// leaderLostAfter is the time without a heartbeat of the control leader after which this VM counts as
// having been cut off. It is longer than certaintyTime because a VM of 510 hears none for more than 2 s
// in 1.8% of the time without any fault. A heartbeat names the newest document besides.
const leaderLostAfter = 3 * time.Second

// notePause notes a pause between two events; ticks come much more often. The steady clock stands
// still on a VM that is suspended, the time of day does not.
func (s *State) notePause(now time.Time) {
	byDay := now.Round(0).Sub(s.now.Round(0))
	if max(now.Sub(s.now), byDay) >= stallAfter {
		s.resumedAt = now
	}
}

// noteLeaderHeard notes a new heartbeat of the control leader.
func (s *State) noteLeaderHeard() {
	if s.now.Sub(s.leaderHeardAt) > leaderLostAfter {
		s.leaderHeardSince = s.now
	}
	s.leaderHeardAt = s.now
}

// isCertain reports whether a request may be refused for good by the document of a log index.
func (s *State) isCertain(index uint64) bool {
	if s.document == nil || s.documentAt.Index != index || s.isOutdated() {
		return false
	}
	for _, disturbedAt := range []time.Time{s.startedAt, s.resumedAt, s.leaderHeardSince} {
		if s.now.Sub(disturbedAt) < certaintyTime {
			return false
		}
	}
	return s.now.Sub(s.leaderHeardAt) <= certaintyTime
}

// mayHaveMissedChange reports whether a document may have come into force while this VM was
// paused, and has not reached it yet. That ends once the leader is heard and messages had time to
// arrive, and after certaintyTime in any case: a VM that is cut off serves by the document it has.
func (s *State) mayHaveMissedChange() bool {
	since := s.now.Sub(s.resumedAt)
	switch {
	case s.resumedAt.IsZero() || since >= certaintyTime:
		return false
	case since < documentSearchTime || !s.leaderHeardAt.After(s.resumedAt):
		return true
	default:
		return s.isOutdated()
	}
}

// isRevoked reports whether the document in force does not give the request's key to its customer.
func (s *State) isRevoked(r *relay.Request) bool {
	if r.Customer == "" || s.document == nil || !s.document.Customers.Enabled() {
		return false
	}
	holder := s.document.Customers.ByKey(r.KeyDigest)
	return holder == nil || holder.Name != r.Customer
}

// forbidsSend returns the step that ends a request in place of one that leads to a send, if the
// document in force forbids that or may be outdated.
func (s *State) forbidsSend(r *relay.Request, step relay.Step) (relay.Step, bool) {
	if step.Claim == nil && step.SlotRequest == nil && step.Send == nil {
		return relay.Step{}, false
	}
	switch {
	case r.Customer == "":
	case s.isRevoked(r) && s.isOutdated():
		// A newer document may hold the key again, and callers take a 401 as final.
		return r.EndOutdated(outdatedRetry), true
	case s.isRevoked(r):
		return r.EndRevoked(), true
	case s.mayHaveMissedChange():
		return r.EndOutdated(outdatedRetry), true
	}
	if step.Send != nil && s.hasRegions(r) && !s.regionsOf(r).allows(s.regionOf(step.Send.Domain)) {
		return r.EndOutsideRegions(), true
	}
	return relay.Step{}, false
}

// hasRegions reports whether a customer or route may name the regions of a request. Owners grant slots
// without regard to them, but within the regions of their service.
func (s *State) hasRegions(r *relay.Request) bool { return r.Customer != "" || r.Route != nil }

// isOutsideRegions reports whether the slots that a request gets here are mostly in a region that
// its customer or route does not allow: owners grant those of their own failure domain first.
func (s *State) isOutsideRegions(r *relay.Request) bool {
	return s.hasRegions(r) && !r.PlacedLocally && !s.regionsOf(r).allows(s.Settings.Region)
}

// outdatedRetry is the time after which a request is tried again that was not sent because the
// document may be outdated; a document usually arrives within it.
const outdatedRetry = 300 * time.Millisecond

// dropGrant gives back the grant of a step that is not performed.
func (s *State) dropGrant(r *relay.Request, step relay.Step) {
	switch {
	case step.Send == nil:
	case r.PlacedLocally:
		s.endRun(r, routing.ResultUnused, 0)
	default:
		s.finishGrant(r, routing.ResultUnused, 0)
	}
}

// regionOf returns the region of a failure domain, or "" for an unknown one.
func (s *State) regionOf(domain string) string {
	for _, d := range s.document.Places.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// customerFields returns the field that names the customer of a request in the log, if it has one.
func customerFields(r *relay.Request) []Field {
	if r.Customer == "" {
		return nil
	}
	return []Field{{"customer", r.Customer}}
}

// regionSet holds the regions that may run a request.
type regionSet struct {
	all   bool
	names []string
	key   string // the same for equal sets; empty if all regions may
}

func (set regionSet) allows(region string) bool {
	return set.all || slices.Contains(set.names, region)
}

// filter returns the check of a region; nil, if all are allowed, saves the calls.
func (set regionSet) filter() func(region string) bool {
	if set.all {
		return nil
	}
	return set.allows
}

// regionSets caches the sets of regions for the customers, routes and services of one document.
type regionSets struct {
	document *document.Document
	sets     map[regionSetKey]regionSet
}

type regionSetKey struct {
	customer, service string
	route             *document.Route // may be of an earlier document
}

const maxRegionSets = 4096 // beyond them, the cache is built anew

// regionsOf returns the regions that may run a request: those that both its customer and its route
// allow, or its service if it has no route.
func (s *State) regionsOf(r *relay.Request) regionSet {
	var customer *document.Customer
	if r.Customer != "" {
		customer = s.document.Customers.ByName(r.Customer)
	}
	key := regionSetKey{route: r.Route}
	var allowed []string
	if r.Route != nil {
		allowed = r.Route.Regions
	} else if service := s.document.Services.ByName(r.Service); service != nil {
		key.service, allowed = service.Name, service.Regions
	}
	if len(allowed) == 0 && (customer == nil || len(customer.Regions) == 0) {
		return regionSet{all: true}
	}
	if customer != nil {
		key.customer = customer.Name
	}
	if s.regionSets.document != s.document || len(s.regionSets.sets) >= maxRegionSets {
		s.regionSets = regionSets{document: s.document, sets: make(map[regionSetKey]regionSet)}
	}
	set, found := s.regionSets.sets[key]
	if !found {
		set = newRegionSet(allowed, customer)
		s.regionSets.sets[key] = set
	}
	return set
}

// newRegionSet returns the regions that are allowed, all if none are named, and that the customer
// allows, of which at least one must name some.
func newRegionSet(allowed []string, customer *document.Customer) regionSet {
	var set regionSet
	if len(allowed) == 0 {
		set.names = slices.Clone(customer.Regions)
	}
	for _, region := range allowed {
		if customer.AllowedIn(region) {
			set.names = append(set.names, region)
		}
	}
	slices.Sort(set.names)
	set.names = slices.Compact(set.names)
	set.key = "\n" + strings.Join(set.names, "\n") // not empty, also where no region is allowed
	return set
}
