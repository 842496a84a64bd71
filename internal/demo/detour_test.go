package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/standin"
)

// passedOnSite is a site whose first VM reaches no server, and knows it.
func passedOnSite(t testing.TB) *cutSite {
	t.Helper()
	s := startCutSite(t)
	for i := range 12 {
		sendUntilRun(t, "GET", s.VMSettings[0].Entry, "proofs", fmt.Sprint("/warm-up/", i), "", "")
	}
	s.setCut(standin.CutReset, 1)
	waitUntil(t, "the VM passes requests on", func() bool {
		send("GET", s.VMSettings[0].Entry, "proofs", "/probe", "", "")
		status, err := s.VMs[0].Node.Status(context.Background())
		if err != nil || len(status.Ways) == 0 {
			return false
		}
		for _, way := range status.Ways {
			if way.Way == "open" || way.Way == "doubt" {
				return false
			}
		}
		return true
	})
	return s
}

// What holds on the direct way must hold where another VM serves the request.
func TestRequestsThroughAnotherVM(t *testing.T) {
	s := passedOnSite(t)
	entry := s.VMSettings[0].Entry
	t.Run("answer whole", func(t *testing.T) {
		got, err := send("GET", entry, "proofs", "/draw/7?size=big", "", "")
		if err != nil || got.status != http.StatusOK || !strings.Contains(got.body, "/draw/7?size=big") || got.id == "" {
			t.Errorf("%+v, %v", got, err)
		}
	})
	t.Run("large body", func(t *testing.T) { checkLargeBody(t, entry) })
	t.Run("streamed answer", func(t *testing.T) { checkStreamedAnswer(t, entry) })
	t.Run("answer that breaks off", func(t *testing.T) { checkBrokenAnswer(t, entry) })
	t.Run("caller leaves", func(t *testing.T) { checkCallerLeaves(t, s, entry) })
	t.Run("key runs once", func(t *testing.T) { checkKeyThroughBoth(t, s) })
	t.Run("headers of the hop from a caller", func(t *testing.T) { checkForgedDetour(t, s) })
}

func checkLargeBody(t *testing.T, entry string) {
	const size = 900 << 10 // beyond what is kept in memory for retries
	body := strings.Repeat("0123456789", size/10)
	got, err := send("POST", entry, "proofs", "/draw/large", "", body)
	if err != nil || got.status != http.StatusOK || !strings.Contains(got.body, body) {
		t.Errorf("status %d %s, %d bytes of answer, %v", got.status, got.reason, len(got.body), err)
	}
}

func checkStreamedAnswer(t *testing.T, entry string) {
	const size = 50 << 10
	got, err := send("GET", entry, "proofs", "/slow-stream", "", "")
	if err != nil || got.status != http.StatusOK || len(got.body) != size {
		t.Errorf("status %d, %d bytes of %d, %v", got.status, len(got.body), size, err)
	}
}

func checkBrokenAnswer(t *testing.T, entry string) {
	got, err := send("GET", entry, "proofs", "/"+string(standin.HalfBody), "", "")
	if err == nil && got.status == http.StatusOK {
		t.Errorf("half of an answer arrived as a whole one: %+v", got)
	}
}

// checkCallerLeaves checks that the server stops work for a caller that hangs up.
func checkCallerLeaves(t *testing.T, s *cutSite, entry string) {
	running := func() (n int64) {
		for _, server := range s.Backends {
			n += server.Running()
		}
		return n
	}
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/slow-stream", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Heatherwood-Service", "proofs")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	io.CopyN(io.Discard, response.Body, 1024)
	if running() == 0 {
		t.Fatal("no server works on the request")
	}
	cancel()
	response.Body.Close()
	for deadline := time.Now().Add(500 * time.Millisecond); running() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a server still works on the request half a second after its caller left")
		}
	}
}

// checkKeyThroughBoth sends one key through the VM that is cut and then through another.
func checkKeyThroughBoth(t *testing.T, s *cutSite) {
	for i := range 4 {
		key := fmt.Sprint("both-", i)
		first := sendUntilRun(t, "POST", s.VMSettings[0].Entry, "payments", "/payments/both", key, "x")
		second := sendUntilRun(t, "POST", s.VMSettings[7].Entry, "payments", "/payments/both", key, "x")
		if first.status != http.StatusOK || second.status != http.StatusOK || first.body != second.body {
			t.Errorf("%s: %+v, then %+v", key, first, second)
		}
		runs := 0
		for _, server := range s.Backends {
			runs += server.RunsByKey()[key]
		}
		if runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// checkForgedDetour checks that a caller cannot have a VM act as a helper.
func checkForgedDetour(t *testing.T, s *cutSite) {
	before, err := s.VMs[7].Node.Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+s.VMSettings[7].Entry+"/draw/forged", bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"Heatherwood-Service": "proofs", "Heatherwood-Detour-From": "vm", "Heatherwood-Detour-Runs": "99",
		"Heatherwood-Detour-Document": "1", "Heatherwood-Request": "chosen-by-caller",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.Header.Get("Heatherwood-Detour-Answer") != "" || response.Header.Get("Heatherwood-Request") == "chosen-by-caller" || response.StatusCode != http.StatusOK {
		t.Errorf("status %d, header %v", response.StatusCode, response.Header)
	}
	if after, err := s.VMs[7].Node.Status(context.Background()); err != nil || after.Helped != before.Helped {
		t.Errorf("the VM serves %d for others, %d before, %v", after.Helped, before.Helped, err)
	}
}
