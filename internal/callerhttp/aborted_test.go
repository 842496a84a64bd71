package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherwood/heatherwood/internal/clock"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/node"
	"github.com/heatherwood/heatherwood/internal/problem"
	"github.com/heatherwood/heatherwood/internal/settings"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// startControlVM starts a control VM that is alone.
func startControlVM(t *testing.T) *node.Node {
	t.Helper()
	const peer = "127.0.0.1:0"
	n, err := node.New(settings.Settings{
		ID: "a1", Domain: "a", Region: "north", Entry: "127.0.0.1:0", Peer: peer, SharedKey: "0123456789abcdef",
		DataDir: t.TempDir(), InitialReplicas: []settings.Replica{{ID: "a1", Peer: peer}},
	}, clock.System{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

// claim claims the key for an attempt and returns the answer.
func claim(t *testing.T, n *node.Node, key ledger.Key, attempt string) ledger.ClaimCode {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, err := n.Propose(ctx, ledger.Command{Claim: &ledger.Claim{Key: key, Attempt: attempt, Holder: "a1", Hold: time.Minute, Keep: time.Hour}})
	if err != nil || result.Result.Claim == nil {
		t.Fatalf("claim of %s: %+v, %v", attempt, result, err)
	}
	return result.Result.Claim.Code
}

// A passed deadline was called a stop of the VM, and the claim was given back though a server might run the request.
func TestAbortedRequestIsToldWhyAndKeepsItsClaimOnceSent(t *testing.T) {
	n := startControlVM(t)
	relay := NewRelay(n, DefaultDialect())
	passed, cancelPassed := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancelPassed()
	left, leave := context.WithCancel(context.Background())
	leave()
	tests := map[string]struct {
		ctx    context.Context
		sent   bool
		status int
		reason string
		run    string
		next   ledger.ClaimCode // answer to the claim of another attempt
	}{
		"deadline passed before a send": {passed, false, http.StatusServiceUnavailable, "deadline", "no", ledger.ClaimGranted},
		"deadline passed after a send":  {passed, true, http.StatusGatewayTimeout, "deadline", "unknown", ledger.ClaimOutcomeUnknown},
		"caller left before a send":     {left, false, http.StatusServiceUnavailable, "cancelled", "no", ledger.ClaimGranted},
		"caller left after a send":      {left, true, http.StatusBadGateway, "cancelled", "unknown", ledger.ClaimOutcomeUnknown},
		"VM stopped before a send":      {context.Background(), false, http.StatusServiceUnavailable, "stopping", "no", ledger.ClaimGranted},
		"VM stopped after a send":       {context.Background(), true, http.StatusBadGateway, "stopping", "unknown", ledger.ClaimOutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			key := ledger.Key{Service: "pay", Key: name}
			if code := claim(t, n, key, "first"); code != ledger.ClaimGranted {
				t.Fatalf("first claim: code %d", code)
			}
			answer := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "http://pay.example/orders", nil)
			request.Header.Set(problem.HeaderIdempotencyKey, name)
			in := &inbound{
				relay: relay, writer: answer, request: request, id: "first", anySend: test.sent,
				service: &document.Service{Name: "pay"}, rule: document.Rule{Once: true},
			}
			in.refuseAborted(test.ctx)
			var told problem.Problem
			if err := json.Unmarshal(answer.Body.Bytes(), &told); err != nil {
				t.Fatal(err)
			}
			if answer.Code != test.status || told.Reason != test.reason || told.Run != test.run {
				t.Errorf("status %d, reason %q, run %q; want %d, %q, %q", answer.Code, told.Reason, told.Run, test.status, test.reason, test.run)
			}
			code := claim(t, n, key, "second")
			for deadline := time.Now().Add(20 * time.Second); code == ledger.ClaimRunning && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
				code = claim(t, n, key, "second")
			}
			if code != test.next {
				t.Errorf("claim of another attempt: code %d, want %d", code, test.next)
			}
		})
	}
}
