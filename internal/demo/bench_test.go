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

// BenchmarkChange measures how long a change takes to be in force on all VMs.
func BenchmarkChange(b *testing.B) {
	d, err := Start(context.Background(), Options{Site: "plaques", DataDir: b.TempDir(), Logger: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	version := uint64(1)
	b.Run("all-up", func(b *testing.B) { version = changeMany(b, d, version) })
	b.Run("one-replica-down", func(b *testing.B) {
		if d.VMs[4] != nil {
			d.Kill(4)
		}
		version = changeMany(b, d, version)
	})
}

func changeMany(b *testing.B, d *Demo, version uint64) uint64 {
	const changes = 200
	var times []time.Duration
	for range changes {
		text := []byte(fmt.Sprintf("# change after %d\n", version))
		began := time.Now()
		accepted, err := d.client(int(version)%4, document.SectionStops).Put(context.Background(), document.SectionStops, operator.Change{Base: version, ID: fmt.Sprint("bench-", version), Text: text})
		if err != nil {
			b.Fatal(err)
		}
		version = accepted.Version
		for !inForce(d, version) {
			time.Sleep(time.Millisecond)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[changes/2].Microseconds())/1000, "ms-median")
	b.ReportMetric(float64(times[changes-1].Microseconds())/1000, "ms-worst")
	return version
}

func inForce(d *Demo, version uint64) bool {
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
