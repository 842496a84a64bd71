package callerhttp

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"

	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/plan"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/pkg/caller"
)

// Lookup answers GET /v1/entries.
type Lookup struct{ Node *node.Node }

const (
	entriesPerDomain = 2 // at most, of one failure domain in an answer
	maxListedEntries = 6 // from so many on, no further domain is added
)

// ServeHTTP implements http.Handler.
func (l *Lookup) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	view := l.Node.View()
	if view == nil || !view.Ready {
		problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Reason: "starting", Detail: "no steering document is in force yet", RetryAfter: startupRetryDelay})
		return
	}
	query := r.URL.Query()
	service := view.Table.ServiceIndex(query.Get("service"))
	if service < 0 {
		problem.Write(w, problem.Problem{Status: http.StatusNotFound, Reason: "unknown-service", Detail: "no service has the name in ?service="})
		return
	}
	client, err := clientAddress(query.Get("client"), r.RemoteAddr)
	if err != nil {
		problem.Write(w, problem.Problem{Status: http.StatusBadRequest, Reason: "bad-client", Detail: "?client= must be an IP number"})
		return
	}
	l.Node.Metrics.Lookups.Inc()
	answer := caller.Answer{
		Entries: chooseEntries(view, view.Table.Lookup(service, client)),
		TTL:     reducer.LookupTTL.String(),
		Version: view.Position.Index,
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// clientAddress parses the explicit address, or the host of the remote one if there
// is none.
func clientAddress(explicit, remote string) (netip.Addr, error) {
	if explicit != "" {
		return netip.ParseAddr(explicit)
	}
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return netip.Addr{}, err
	}
	return netip.ParseAddr(host)
}

// chooseEntries lists entries of the chosen failure domains, and then of others
// until two domains are listed. The client's hash selects among the entries of one
// domain.
func chooseEntries(view *reducer.View, choice plan.Choice) []string {
	entries := make([]string, 0, maxListedEntries)
	domains := 0
	add := func(domain reducer.ViewDomain) {
		n := len(domain.Entries)
		if n == 0 || !domain.Alive || len(entries) >= maxListedEntries {
			return
		}
		domains++
		for i := range min(n, entriesPerDomain) {
			entries = append(entries, domain.Entries[(int(choice.Hash%uint64(n))+i)%n])
		}
	}
	used := make([]bool, len(view.Domains))
	for _, index := range choice.Domains[:choice.Count] {
		used[index] = true
		add(view.Domains[index])
	}
	for i, domain := range view.Domains {
		if domains >= 2 {
			break
		}
		if !used[i] {
			add(domain)
		}
	}
	return entries
}
