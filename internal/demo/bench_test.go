package demo

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/pkg/document"
	"github.com/heatherwood/heatherwood/pkg/operator"
)

// BenchmarkChange measures the time from sending a change until it is in force on all
// running VMs, with all control replicas running and with one killed.
func BenchmarkChange(b *testing.B) {
	d, err := Start(context.Background(), Options{Site: "plaques", DataDir: b.TempDir(), Logger: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	version := uint64(1)
	b.Run("all-up", func(b *testing.B) { version = measureChanges(b, d, version) })
	b.Run("one-replica-down", func(b *testing.B) {
		if d.VMs[4] != nil {
			d.Kill(4)
		}
		version = measureChanges(b, d, version)
	})
}

// measureChanges makes one change after another, reports the median and the highest
// latency, and returns the last version.
func measureChanges(b *testing.B, d *Demo, version uint64) uint64 {
	const changes = 200
	var latencies []time.Duration
	for range changes {
		text := []byte(fmt.Sprintf("# change after %d\n", version))
		sentAt := time.Now()
		accepted, err := d.client(int(version)%4, document.SectionStops).Put(context.Background(), document.SectionStops, operator.Change{Base: version, ID: fmt.Sprint("bench-", version), Text: text})
		if err != nil {
			b.Fatal(err)
		}
		version = accepted.Version
		for !isInForce(d, version) {
			time.Sleep(time.Millisecond)
		}
		latencies = append(latencies, time.Since(sentAt))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[changes/2].Microseconds())/1000, "ms-median")
	b.ReportMetric(float64(latencies[changes-1].Microseconds())/1000, "ms-worst")
	return version
}

// isInForce reports whether all running VMs follow at least the given version
// of the stops section.
func isInForce(d *Demo, version uint64) bool {
	for _, vm := range d.VMs {
		if vm == nil {
			continue
		}
		view := vm.Node.View()
		if view == nil || view.Versions.Stops < version || view.Position != view.SectionsAt {
			return false
		}
	}
	return true
}

// BenchmarkThroughAnotherVM compares requests on the direct way with those that another VM
// serves for one without a way to the servers; each includes the 30 ms of the server.
func BenchmarkThroughAnotherVM(b *testing.B) {
	s := passedOnSite(b)
	for name, vm := range map[string]int{"direct": 7, "passed-on": 0} {
		b.Run(name, func(b *testing.B) {
			var latencies []time.Duration
			for range b.N {
				sentAt := time.Now()
				if got, err := send("GET", s.VMSettings[vm].Entry, "proofs", "/bench", "", ""); err != nil || got.status != 200 {
					b.Fatalf("%+v, %v", got, err)
				}
				latencies = append(latencies, time.Since(sentAt))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "us-median")
		})
	}
}
