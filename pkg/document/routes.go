package document

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind is how often a request of a route may run.
type Kind string

// The kinds of route.
const (
	KindRepeat   Kind = "repeat"   // may run more than once
	KindDownload Kind = "download" // may run more than once; its answers are large and streamed
	KindAttempt  Kind = "attempt"  // runs at most once each time a caller sends it
	KindOnce     Kind = "once"     // runs at most once for each Idempotency-Key
)

// Repeatable reports whether a request of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == KindRepeat || k == KindDownload }

// Routes holds the routes and what callers may send.
type Routes struct {
	Limits Limits  `toml:"limits"`
	Routes []Route `toml:"route"`

	routesByHost  map[string][]*Route // by host in lower case, the longest path first
	regionsByHost map[string][]string // by host in lower case: the regions that all routes allow; only of hosts with a route that names regions
}

// Limits bounds what a caller may send; a zero value keeps the default of the
// entry VM.
type Limits struct {
	Header        int64    `toml:"header"`         // bytes of a request's header
	Body          int64    `toml:"body"`           // bytes of a request's body
	HeaderTimeout Duration `toml:"header_timeout"` // longest time for sending the header
	IdleTimeout   Duration `toml:"idle_timeout"`   // longest time without a request on a connection
}

// Route sends the requests of a host and path prefix to one or more services.
type Route struct {
	Name     string   `toml:"name"`
	Host     string   `toml:"host"`
	Path     string   `toml:"path"` // prefix, in whole path elements
	Kind     Kind     `toml:"kind"`
	Rank     string   `toml:"rank"`
	Timeout  Duration `toml:"timeout"`          // longest wait for a final answer
	Target   Duration `toml:"target"`           // time after which an answer has lost most of its value
	Tries    int      `toml:"tries"`            // backend servers that may run one request, at most
	Affinity bool     `toml:"affinity"`         // requests for an object run faster on a server that recently ran another one for it
	Regions  []string `toml:"regions"`          // regions allowed to run it; none means all
	Public   bool     `toml:"public,omitempty"` // serves requests without a customer's key
	To       []Target `toml:"to"`
}

// Target is a service that a route sends requests to, in proportion to its
// weight.
type Target struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// Closures holds the failure domains and backend servers that get no new work
// until they are opened again. API calls write this section, not a team.
type Closures struct {
	Closures []Closure  `toml:"closure"`
	Reopened []Reopened `toml:"reopened"`
}

// Reopened is the time at which a failure domain was opened again. Its servers
// may be cold, since they got no requests while it was closed.
type Reopened struct {
	Name string `toml:"name"`
	At   int64  `toml:"at"` // milliseconds since 1970, by the leader's clock
}

// Closure keeps new work from a failure domain, or from one start of a backend
// server and all earlier ones: a server that starts later is open again.
type Closure struct {
	Kind  ClosureKind `toml:"kind"`
	Name  string      `toml:"name"`
	Start int64       `toml:"start"` // of a server, milliseconds since 1970; 0 when it announced none
}

// ClosureKind is the kind of object that a closure names.
type ClosureKind string

// The kinds of closure.
const (
	CloseDomain ClosureKind = "domain"
	CloseServer ClosureKind = "server"
)

// Covers reports whether the closure closes all that the other one does.
func (c Closure) Covers(other Closure) bool {
	return c.Kind == other.Kind && c.Name == other.Name && c.Start >= other.Start
}

// Has reports whether a closure in the list closes all that this one does.
func (c Closures) Has(closure Closure) bool {
	return slices.ContainsFunc(c.Closures, func(listed Closure) bool { return listed.Covers(closure) })
}

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
	r.indexHosts()
}

// indexHosts groups the routes by host and orders those of a host by descending
// length of their path.
func (r *Routes) indexHosts() {
	r.routesByHost = make(map[string][]*Route)
	r.regionsByHost = make(map[string][]string)
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
		if len(route.Regions) == 0 {
			continue
		}
		if regions, found := r.regionsByHost[host]; found {
			r.regionsByHost[host] = slices.DeleteFunc(regions, func(region string) bool { return !route.AllowedIn(region) })
		} else {
			r.regionsByHost[host] = slices.Clone(route.Regions)
		}
	}
	for _, routes := range r.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
}

// Match returns the route of the host with the longest path prefix that matches,
// or nil; a port of the host is ignored.
func (r *Routes) Match(host, path string) *Route {
	for _, route := range r.routesByHost[hostKey(host)] {
		if prefixMatches(route.Path, path) {
			return route
		}
	}
	return nil
}

// Serves reports whether a route names the host; a port is ignored.
func (r *Routes) Serves(host string) bool { return len(r.routesByHost[hostKey(host)]) > 0 }

// RegionsOf returns the regions that all routes of the host allow, or false if every region is
// allowed; a port of the host is ignored.
func (r *Routes) RegionsOf(host string) ([]string, bool) {
	regions, limited := r.regionsByHost[hostKey(host)]
	return regions, limited
}

// hostKey returns a host in lower case and without its port.
func hostKey(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
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

// Location returns the host in lower case and the path of the route, which no other route
// of the document has; names may repeat.
func (r *Route) Location() string { return strings.ToLower(r.Host) + r.Path }

// AllowedIn reports whether requests of the route may run in the region.
func (r *Route) AllowedIn(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
