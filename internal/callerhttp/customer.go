package callerhttp

import (
	"encoding/binary"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/relay"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const headerAuthorization = "Authorization"

// Reasons of refusals for want of a customer; with relay.ReasonDocumentOutdated they are also the
// values of the metric of such refusals.
const (
	reasonUnknownKey = "unknown-key"
	reasonNoRegion   = "no-region"
)

// identity is the customer of a request, as the key that it carries tells.
type identity struct {
	customer string // empty without a known key
	key      document.KeyDigest
}

// AuthorizationKey returns a ParseKey that takes the key from an Authorization header of the given
// scheme, whose case does not matter. Several such headers, or a malformed one, hold no key.
func AuthorizationKey(scheme string) func(http.Header) (key string, found bool) {
	return func(header http.Header) (string, bool) {
		values := header.Values(headerAuthorization)
		if len(values) != 1 {
			return "", false
		}
		given, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
		key = strings.TrimSpace(key)
		return key, key != "" && strings.EqualFold(given, scheme)
	}
}

// identify finds the customer of the request by its key, or refuses the request and returns false.
// The rank and the route or service of the request must be known.
func (in *inbound) identify() bool {
	customers := &in.view.Document.Customers
	if !customers.Enabled() {
		return true
	}
	if in.detour != nil && in.detour.identity.customer != "" {
		// The reducer compares the digest with the document before each send.
		in.identity = in.detour.identity
		in.takeRank(customers.ByName(in.identity.customer))
		return true
	}
	customer := in.holder(customers)
	switch {
	case customer == nil && in.route != nil && in.route.Public:
		return true
	case customer == nil:
		in.refuseCustomer(http.StatusUnauthorized, reasonUnknownKey, "the request needs one valid key")
		return false
	}
	in.takeRank(customer)
	if !in.sharesRegion(customer) {
		in.refuseCustomer(http.StatusForbidden, reasonNoRegion, "the customer and the route have no region in common")
		return false
	}
	return true
}

// holder returns the customer whose key the request carries and notes both, or returns nil.
func (in *inbound) holder(customers *document.Customers) *document.Customer {
	if in.relay.Dialect.ParseKey == nil {
		return nil
	}
	key, found := in.relay.Dialect.ParseKey(in.request.Header)
	if !found {
		return nil
	}
	digest := document.DigestKey(key)
	customer := customers.ByKey(digest)
	if customer != nil {
		in.identity = identity{customer: customer.Name, key: digest}
	}
	return customer
}

// takeRank gives the request the rank of its customer, if that has one.
func (in *inbound) takeRank(customer *document.Customer) {
	if customer != nil && customer.Rank != "" {
		in.rule.Rank = customer.Rank
	}
}

// sharesRegion reports whether a region may run the request by the customer and by the route, or
// by the service of a request without a route.
func (in *inbound) sharesRegion(customer *document.Customer) bool {
	regions := in.service.Regions
	if in.route != nil {
		regions = in.route.Regions
	}
	return len(regions) == 0 || slices.ContainsFunc(regions, customer.AllowedIn)
}

// Retry-After of a request that was refused because the document may be outdated: documents are in
// force within a few hundred milliseconds, and callers should not return all at once.
const (
	minUncertainRetry = 300 * time.Millisecond
	maxUncertainRetry = time.Second
)

// refuseCustomer refuses a request for want of a valid key or an allowed region. Callers take both
// as final, so a VM whose document may be outdated tells them to return instead.
func (in *inbound) refuseCustomer(status int, reason, detail string) {
	retryAfter := time.Duration(0)
	if !in.relay.Node.IsCertain(in.request.Context(), in.view.Position.Index) {
		fraction := float64(xxhash.Sum64String(in.id)%1024) / 1024
		retryAfter = minUncertainRetry + time.Duration(fraction*float64(maxUncertainRetry-minUncertainRetry))
		status, reason, detail = http.StatusServiceUnavailable, relay.ReasonDocumentOutdated, "a newer steering document may be in force elsewhere"
	}
	in.relay.Node.Metrics.CountCustomerRefusal(reason)
	in.unidentified = in.identity.customer == ""
	in.refuse(status, reason, detail, retryAfter)
}

// hasCustomers reports whether customers are on, by the document of the request's arrival or by
// the one in force.
func (in *inbound) hasCustomers() bool {
	if in.view.Document.Customers.Enabled() {
		return true
	}
	view := in.relay.Node.View()
	return view != nil && view.Document != nil && view.Document.Customers.Enabled()
}

// isRevoked reports whether the document in force has taken the key of the request from its
// customer.
func (in *inbound) isRevoked() bool {
	view := in.relay.Node.View()
	if in.identity.customer == "" || view == nil || view.Document == nil || !view.Document.Customers.Enabled() {
		return false
	}
	holder := view.Document.Customers.ByKey(in.identity.key)
	return holder == nil || holder.Name != in.identity.customer
}

// setCustomerHeaders replaces what the caller sent about its customer by what this VM knows of it.
func (in *inbound) setCustomerHeaders(header http.Header) {
	header.Del(problem.HeaderDetourCustomer)
	header.Del(problem.HeaderDetourKey)
	if !in.hasCustomers() {
		return
	}
	header.Del(headerAuthorization)
	name := in.relay.Dialect.CustomerHeader
	if name == "" {
		return
	}
	for given := range header {
		// Some servers take underscores in the names of headers for hyphens.
		if strings.EqualFold(strings.ReplaceAll(given, "_", "-"), name) {
			delete(header, given)
		}
	}
	if in.identity.customer != "" {
		header.Set(name, in.identity.customer)
	}
}

// setDetourIdentity tells another VM whose request it gets.
func (in *inbound) setDetourIdentity(header http.Header) {
	if in.identity.customer != "" {
		header.Set(problem.HeaderDetourCustomer, in.identity.customer)
		header.Set(problem.HeaderDetourKey, in.identity.key.String())
	}
}

// parseDetourIdentity returns the customer that another VM found for a request; none if that
// VM's document has no customers or the request no key.
func parseDetourIdentity(header http.Header) (identity, error) {
	who := identity{customer: header.Get(problem.HeaderDetourCustomer)}
	if who.customer == "" {
		return identity{}, nil
	}
	err := who.key.UnmarshalText([]byte(header.Get(problem.HeaderDetourKey)))
	return who, err
}

// claimDigest returns the digest that a claim compares: that of the request and of its customer, so
// that no customer gets the stored answer to another one's request.
func (in *inbound) claimDigest(digest uint64) uint64 {
	if in.identity.customer == "" {
		return digest
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(in.identity.customer), digest))
}

// identityFields returns the field that names the customer in the log, if there is one.
func (in *inbound) identityFields() []reducer.Field {
	if in.identity.customer == "" {
		return nil
	}
	return []reducer.Field{{Name: "customer", Value: in.identity.customer}}
}

// maxRefusalLines bounds the log lines per second of requests without a known key: anybody can
// send these.
const maxRefusalLines = 20

// lineLimit bounds the log lines of refused requests, and counts those that were left out.
type lineLimit struct {
	clock clock.Clock

	mutex   sync.Mutex
	since   time.Time // start of the current second
	lines   int       // in that second
	skipped int64     // since the last line
}

// take reports whether a line may be logged, and how many were left out before it.
func (l *lineLimit) take() (skipped int64, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := l.clock.Now(); now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxRefusalLines {
		l.skipped++
		return 0, false
	}
	l.lines++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

// logRefusal logs the end of a request without a known key, within the limit on such lines.
func (in *inbound) logRefusal() {
	if skipped, allowed := in.relay.refusalLines.take(); allowed {
		in.logEnd(reducer.Field{Name: "not_logged", Value: skipped})
	}
}
