package capacity

import (
	"testing"
	"time"
)

// A small fleet must stay within the limits of the size that the system is
// designed for: changes in force within three seconds, and 17 KB/s of control
// from each VM.
func TestSmallFleetStaysWithinLimits(t *testing.T) {
	const (
		maxChangeTime = 3 * time.Second
		maxBytes      = 17_000.0 // a second
	)
	m, err := Measure(Size{Domains: 6, VMsPerDomain: 3, Replicas: 6, Services: 4, Places: 120, Servers: 10})
	if err != nil {
		t.Fatal(err)
	}
	if m.ChangeTime <= 0 || m.ChangeTime > maxChangeTime {
		t.Errorf("a change was in force after %v, want at most %v", m.ChangeTime, maxChangeTime)
	}
	for role, rate := range m.Rates {
		if rate.Bytes > maxBytes {
			t.Errorf("%s sends %.0f bytes a second, want at most %.0f", role, rate.Bytes, maxBytes)
		}
		if rate.Messages == 0 {
			t.Errorf("%s sends nothing", role)
		}
	}
}
