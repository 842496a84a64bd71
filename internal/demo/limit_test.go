package demo

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/standin"
)

// Servers that name a limit get a multiple of it from ten VMs, whoever chooses the server.
func TestServersGetTheirLimitsFromAllVMsTogether(t *testing.T) {
	const (
		perSecond = 2.4
		known     = 3 * time.Second // after the limit was named, until all VMs know it
		observed  = 10 * time.Second
		window    = 4 * time.Second
		allowed   = 19   // in the window: one and a half times the limit, and 5
		used      = 0.85 // of the limit, at least
	)
	d := startDemo(t, "plaques", true)
	tests := map[string]struct {
		service, path string
		oneEntry      bool // callers use one entry, whose domain has too few servers for them
		all           bool // all servers are limited, so that callers ask for more than they take
	}{
		"slots of an owner":       {service: "approvals", path: "/read", all: true},
		"some slots of an owner":  {service: "payments", path: "/read"},
		"slots of another domain": {service: "proofs", path: "/read", oneEntry: true},
		"placing by entries":      {service: "patterns", path: "/oak", all: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entries := d.Info().Entries
			if test.oneEntry {
				entries = entries[:1]
			}
			stop := startCallers(entries, test.service+".plaques.example", test.path)
			defer stop()
			var servers []*standin.Server
			for _, server := range d.Backends {
				if server.Settings.Service == test.service {
					servers = append(servers, server)
				}
			}
			waitUntil(t, "servers of "+test.service+" run requests", func() bool {
				return !slices.ContainsFunc(servers[:len(entries)/2], func(s *standin.Server) bool { return s.Served() == 0 })
			})
			limited := servers
			if !test.all {
				limited = servers[:len(servers)/2]
			}
			named := time.Now()
			for _, server := range limited {
				server.SetLimit(fmt.Sprint(perSecond))
			}
			time.Sleep(known + observed)
			for _, server := range limited {
				var times []time.Time
				for _, at := range server.Arrivals() {
					if at.Sub(named) >= known {
						times = append(times, at)
					}
				}
				if most := mostWithin(times, window); most > allowed {
					t.Errorf("%s got %d requests in %v, allowed %d", server.Settings.ID, most, window, allowed)
				}
				if least := int(used * perSecond * observed.Seconds()); test.all && len(times) < least {
					t.Errorf("%s got %d requests in %v, want at least %d", server.Settings.ID, len(times), observed, least)
				}
				server.SetLimit("")
			}
		})
	}
}

// mostWithin returns the highest number of times within any span of the length.
func mostWithin(times []time.Time, length time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// startCallers sends requests with changing objects through the entries, from three
// callers each, until the returned function is called.
func startCallers(entries []string, host, path string) func() {
	const callersPerEntry, objects, pause = 3, 24, 10 * time.Millisecond
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range callersPerEntry * len(entries) {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := i; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				request, err := http.NewRequest(http.MethodGet, "http://"+entries[i%len(entries)]+path, nil)
				if err != nil {
					return
				}
				request.Host = host
				request.Header.Set("Heatherwood-Object", fmt.Sprint(n%objects))
				if response, err := http.DefaultClient.Do(request); err == nil {
					response.Body.Close()
				}
			}
		}()
	}
	return func() {
		close(done)
		group.Wait()
	}
}
