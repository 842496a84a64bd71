package callerhttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/demo"
	"github.com/heatherwood/heatherwood/internal/standin"
)

// BenchmarkRelay compares the relay of an entry with a plain ReverseProxy, both in
// front of the same stand-in server, in one run.
func BenchmarkRelay(b *testing.B) {
	d, err := demo.Start(context.Background(), demo.Options{Site: "plaques", DataDir: b.TempDir(), Logger: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Stop()
	server, err := standin.Start(d.Options.IP, standin.Settings{ID: "bench", Service: "proofs", Slots: 256, Entries: d.Info().Domains[0].Entries})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Kill()
	target, err := url.Parse("http://" + server.Address)
	if err != nil {
		b.Fatal(err)
	}
	reverse := httputil.NewSingleHostReverseProxy(target)
	reverse.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	proxy := httptest.NewServer(reverse)
	defer proxy.Close()
	entries := d.Info().Domains[0].Entries
	time.Sleep(7 * time.Second) // until the server has warmed up
	b.Run("reverse-proxy", func(b *testing.B) { sendLoad(b, proxy.URL) })
	for i, entry := range entries {
		b.Run(fmt.Sprint("entry-", i+1), func(b *testing.B) { sendLoad(b, "http://"+entry) })
	}
	b.Run("reverse-proxy-again", func(b *testing.B) { sendLoad(b, proxy.URL) })
}

// sendLoad sends requests from a fixed number of callers for the throughput, then
// one after the other for the median latency.
func sendLoad(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sendOne(b, client, address)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.StopTimer()
	const samples = 1000
	var times []time.Duration
	for range samples {
		sentAt := time.Now()
		sendOne(b, client, address)
		times = append(times, time.Since(sentAt))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[samples/2].Microseconds()), "us-median")
}

func sendOne(b *testing.B, client *http.Client, address string) {
	request, err := http.NewRequest(http.MethodGet, address+"/proof", nil)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Heatherwood-Service", "proofs")
	response, err := client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %s", response.Status)
	}
}
