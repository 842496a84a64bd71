package main

import (
	"testing"

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
