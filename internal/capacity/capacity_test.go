package capacity

import (
	"testing"
	"time"
)

// A small fleet keeps the bounds of the size to design for: changes in force within
// three seconds, 17 KB/s of control for each VM.
func TestSmallFleetKeepsTheBounds(t *testing.T) {
	const (
		inForce = 3 * time.Second
		bytes   = 17_000.0 // a second
	)
	figures, err := Measure(Size{Domains: 6, VMsPerDomain: 3, Replicas: 6, Services: 4, Places: 120, Servers: 10})
	if err != nil {
		t.Fatal(err)
	}
	if figures.InForce <= 0 || figures.InForce > inForce {
		t.Errorf("a change was in force after %v, want at most %v", figures.InForce, inForce)
	}
	for role, rate := range figures.Roles {
		if rate.Bytes > bytes {
			t.Errorf("%s sends %.0f bytes a second, want at most %.0f", role, rate.Bytes, bytes)
		}
		if rate.Messages == 0 {
			t.Errorf("%s sends nothing", role)
		}
	}
}
