package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/heatherwood/heatherwood/examples"
	"github.com/heatherwood/heatherwood/internal/demo"
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Before the VMs of a failure domain have met, two of them may own a service.
func TestServiceSumCountsEachDomainOnce(t *testing.T) {
	sum := serviceSum{seen: make(map[string]bool)}
	service := reducer.ServiceStatus{Service: "web", Summary: dispatch.Summary{Service: "web", Capacity: 4}}
	for _, domain := range []string{"a", "a", "b"} {
		sum.add(domain, service)
	}
	if sum.domains != 2 || sum.slots != 8 {
		t.Errorf("%d domains with %d slots, want 2 with 8", sum.domains, sum.slots)
	}
}

// Services placed by entries have no hosts of their own, only those of their routes.
func TestIntroductionFitsEachSite(t *testing.T) {
	for _, site := range examples.SiteNames() {
		t.Run(site, func(t *testing.T) {
			d, err := demo.Prepare(demo.Options{Site: site, DataDir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			info := d.Info()
			for _, service := range info.Services {
				if len(service.Hosts) == 0 {
					t.Errorf("service %s has no host", service.Name)
				}
			}
			var out bytes.Buffer
			printIntroduction(&out, info)
			if want := "http://" + info.Entries[0] + "/payments/1"; !strings.Contains(out.String(), want) {
				t.Errorf("no request to %s, a service with operations that run once, in:\n%s", want, out.String())
			}
		})
	}
}
