package node

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// replicas starts control VMs on loopback with real files.
func replicas(tb testing.TB, count int) []*Node {
	tb.Helper()
	folder := tb.TempDir()
	var list []settings.Replica
	var seeds []string
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		defer listener.Close()
		list = append(list, settings.Replica{ID: fmt.Sprint("r", i), Peer: listener.Addr().String()})
		seeds = append(seeds, listener.Addr().String())
	}
	var nodes []*Node
	for i, replica := range list {
		own := settings.Settings{
			ID:              replica.ID,
			Domain:          fmt.Sprint("d", i),
			Region:          "north",
			Entry:           fmt.Sprintf("127.0.0.1:%d", i+1),
			Peer:            replica.Peer,
			Seeds:           seeds,
			DataDir:         filepath.Join(folder, replica.ID),
			SharedKey:       "a key for the benchmark",
			InitialReplicas: list,
		}
		n, err := New(own, clock.System{}, zerolog.Nop())
		if err != nil {
			tb.Fatal(err)
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func startAll(tb testing.TB, nodes []*Node) {
	tb.Helper()
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			tb.Fatal(err)
		}
	}
	tb.Cleanup(func() {
		for _, n := range nodes {
			n.Stop()
		}
	})
	awaitLeader(tb, nodes)
}

func awaitLeader(tb testing.TB, nodes []*Node) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := nodes[0].Propose(ctx, ledger.Command{}); err != nil {
		tb.Fatal(err)
	}
}

// prepared closes the listeners that held the ports before the VMs start.
func prepared(tb testing.TB, count int) []*Node {
	tb.Helper()
	nodes := replicas(tb, count)
	startAll(tb, nodes)
	return nodes
}

// BenchmarkClaims measures claims per second with group commit.
func BenchmarkClaims(b *testing.B) {
	for _, count := range []int{3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			nodes := prepared(b, count)
			var number atomic.Int64
			before := syncs(nodes)
			b.SetParallelism(64)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					n := number.Add(1)
					key := ledger.Key{Service: "pay", Key: fmt.Sprint(n, "-", b.N)}
					claim := &ledger.Claim{Key: key, Attempt: fmt.Sprint(n), Holder: "r0", Hold: time.Minute, Keep: time.Second}
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					_, err := nodes[int(n)%count].Propose(ctx, ledger.Command{Claim: claim})
					cancel()
					if err != nil {
						b.Error(err)
					}
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(syncs(nodes)-before)/float64(b.N), "syncs/claim")
		})
	}
}

func syncs(nodes []*Node) uint64 {
	total := uint64(0)
	for _, n := range nodes {
		total += n.Metrics.LogSyncs.Get()
	}
	return total
}

// BenchmarkLeaderDies measures the time without a leader.
func BenchmarkLeaderDies(b *testing.B) {
	const rounds = 10
	var gaps []time.Duration
	for range rounds {
		nodes := prepared(b, 5)
		leader := leaderOf(b, nodes)
		var rest []*Node
		for _, n := range nodes {
			if n != leader {
				rest = append(rest, n)
			}
		}
		leader.Stop()
		began := time.Now()
		awaitLeader(b, rest)
		gaps = append(gaps, time.Since(began))
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[rounds/2].Milliseconds()), "ms-median")
	b.ReportMetric(float64(gaps[rounds-1].Milliseconds()), "ms-worst")
}

func leaderOf(b *testing.B, nodes []*Node) *Node {
	b.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range nodes {
			if status, err := n.Status(context.Background()); err == nil && status.Role == "leader" {
				return n
			}
		}
	}
	b.Fatal("no leader")
	return nil
}

// BenchmarkRecovery measures the start of a replica by the number of changes.
func BenchmarkRecovery(b *testing.B) {
	for _, changes := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			nodes := prepared(b, 1)
			text := []byte("[[region]]\nname = \"north\"\n")
			for i := range changes {
				put := &ledger.Put{Section: document.SectionPlaces, Base: uint64(i), ChangeID: fmt.Sprint(i), Text: text}
				put.Checked.Places = uint64(i)
				if _, err := nodes[0].Propose(context.Background(), ledger.Command{Put: put}); err != nil {
					b.Fatal(err)
				}
			}
			nodes[0].Stop()
			b.ResetTimer()
			for range b.N {
				n, err := New(nodes[0].Settings, clock.System{}, zerolog.Nop())
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				n.saver.close()
				n.folder.Close()
				b.StartTimer()
			}
		})
	}
}
