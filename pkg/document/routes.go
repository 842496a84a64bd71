package document

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind tells how often a request of a route may run.
type Kind string

// The kinds of request.
const (
	KindRepeat  Kind = "repeat"  // may run more than once
	KindAttempt Kind = "attempt" // runs at most once for each attempt of its caller
	KindOnce    Kind = "once"    // runs at most once for each Idempotency-Key
)

// Routes holds the routes and what callers may send.
type Routes struct {
	Limits Limits  `toml:"limits"`
	Routes []Route `toml:"route"`

	hosts map[string][]*Route // by host, the longest path first
}

// Limits bounds what a caller may send; zero values leave the defaults of the
// entry.
type Limits struct {
	Header        int64    `toml:"header"`         // bytes of the header of a request
	Body          int64    `toml:"body"`           // bytes of the body of a request
	HeaderTimeout Duration `toml:"header_timeout"` // longest time for sending the header
	IdleTimeout   Duration `toml:"idle_timeout"`   // longest time between requests on a connection
}

// Route sends the requests of a host and path prefix to one or more services.
type Route struct {
	Name     string   `toml:"name"`
	Host     string   `toml:"host"`
	Path     string   `toml:"path"`
	Kind     Kind     `toml:"kind"`
	Rank     string   `toml:"rank"`
	Timeout  Duration `toml:"timeout"`  // longest wait for a final answer
	Target   Duration `toml:"target"`   // time within which an answer is in full value
	Tries    int      `toml:"tries"`    // backend servers that may run one request
	Affinity bool     `toml:"affinity"` // requests of one object run faster where it ran lately
	Regions  []string `toml:"regions"`  // regions allowed to run it; none means all
	To       []Target `toml:"to"`
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// Closures holds what must get no new work until it is opened again. It is
// written by calls, not by a team.
type Closures struct {
	Closures []Closure  `toml:"closure"`
	Reopened []Reopened `toml:"reopened"`
}

// Reopened tells when a failure domain was opened again: its servers may have
// turned cold while they got nothing.
type Reopened struct {
	Name string `toml:"name"`
	At   int64  `toml:"at"` // milliseconds since 1970, by the clock of the leader
}

// Closure keeps new work from a failure domain or from one start of a backend
// server.
type Closure struct {
	Kind  ClosureKind `toml:"kind"`
	Name  string      `toml:"name"`
	Start int64       `toml:"start"` // of a server, milliseconds since 1970; 0 when it told none
}

// ClosureKind tells what a closure names.
type ClosureKind string

// The kinds of closure.
const (
	CloseDomain ClosureKind = "domain"
	CloseServer ClosureKind = "server"
)

// Has reports whether the closure is in the list.
func (c Closures) Has(closure Closure) bool { return slices.Contains(c.Closures, closure) }

// Defaults and bounds of routes.
const (
	defaultRouteTimeout = Duration(30 * time.Second)
	defaultTries        = 2
	maxTries            = 16
	maxRouteTimeout     = 10 * time.Minute
)

func (r *Routes) fillDefaults() {
	for i := range r.Routes {
		route := &r.Routes[i]
		if route.Timeout == 0 {
			route.Timeout = defaultRouteTimeout
		}
		if route.Target == 0 {
			route.Target = route.Timeout
		}
		if route.Tries == 0 {
			route.Tries = defaultTries
		}
		if route.Kind == "" {
			route.Kind = KindAttempt
		}
	}
	r.index()
}

// index orders the routes of each host by falling length of their path.
func (r *Routes) index() {
	r.hosts = make(map[string][]*Route)
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
}

// Match finds the route of a host and path: the longest prefix that fits.
func (r *Routes) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range r.hosts[strings.ToLower(host)] {
		if prefixMatches(route.Path, path) {
			return route
		}
	}
	return nil
}

// Serves reports whether a route names the host.
func (r *Routes) Serves(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return len(r.hosts[strings.ToLower(host)]) > 0
}

// Uses reports whether a route sends requests to the service.
func (r *Routes) Uses(service string) bool {
	for i := range r.Routes {
		if slices.ContainsFunc(r.Routes[i].To, func(t Target) bool { return t.Service == service }) {
			return true
		}
	}
	return false
}

// AllowedIn reports whether requests of the route may run in the region.
func (r *Route) AllowedIn(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
