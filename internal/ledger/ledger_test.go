package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	hold = 5 * time.Second
	keep = time.Minute
)

// commandLog applies commands at successive log positions.
type commandLog struct {
	state *State
	index uint64
}

func (h *commandLog) claim(at time.Duration, key, attempt string) ClaimCode {
	h.index++
	claim := &Claim{Key: Key{Service: "pay", Key: key}, Attempt: attempt, Hold: hold, Keep: keep}
	return h.state.Apply(Position{Index: h.index}, Command{At: start.Add(at), Claim: claim}).Claim.Code
}

func (h *commandLog) release(at time.Duration, key, attempt string) {
	h.index++
	h.state.Apply(Position{Index: h.index}, Command{At: start.Add(at), Release: &Release{Key: Key{Service: "pay", Key: key}, Attempt: attempt}})
}

func (h *commandLog) settle(at time.Duration, key, attempt string, outcome Outcome) {
	h.index++
	h.state.Apply(Position{Index: h.index}, Command{At: start.Add(at), Settle: &Settle{Key: Key{Service: "pay", Key: key}, Attempt: attempt, Outcome: outcome}})
}

func TestClaims(t *testing.T) {
	tests := map[string]struct {
		steps func(h *commandLog)
		at    time.Duration
		want  ClaimCode
	}{
		"first":                      {func(*commandLog) {}, 0, ClaimGranted},
		"held by another attempt":    {func(h *commandLog) { h.claim(0, "k", "a") }, time.Second, ClaimRunning},
		"after the end of the hold":  {func(h *commandLog) { h.claim(0, "k", "a") }, hold, ClaimOutcomeUnknown},
		"after a release":            {func(h *commandLog) { h.claim(0, "k", "a"); h.release(0, "k", "a") }, time.Second, ClaimGranted},
		"release by another attempt": {func(h *commandLog) { h.claim(0, "k", "a"); h.release(0, "k", "x") }, time.Second, ClaimRunning},
		"release after the hold":     {func(h *commandLog) { h.claim(0, "k", "a"); h.release(hold, "k", "a") }, hold, ClaimOutcomeUnknown},
		"after an outcome":           {func(h *commandLog) { h.claim(0, "k", "a"); h.settle(0, "k", "a", Outcome{Status: 200}) }, time.Second, ClaimStored},
		"after an unknown outcome":   {func(h *commandLog) { h.claim(0, "k", "a"); h.settle(0, "k", "a", Outcome{Unknown: true}) }, time.Second, ClaimOutcomeUnknown},
		"outcome after the hold":     {func(h *commandLog) { h.claim(0, "k", "a"); h.settle(2*hold, "k", "a", Outcome{Status: 200}) }, 2 * hold, ClaimStored},
		"outcome of another attempt": {func(h *commandLog) { h.claim(0, "k", "a"); h.settle(0, "k", "x", Outcome{Status: 200}) }, time.Second, ClaimRunning},
		"just before expiry":         {func(h *commandLog) { h.claim(0, "k", "a") }, keep - 1, ClaimOutcomeUnknown},
		"at expiry":                  {func(h *commandLog) { h.claim(0, "k", "a") }, keep, ClaimGranted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &commandLog{state: New()}
			test.steps(h)
			if got := h.claim(test.at, "k", "b"); got != test.want {
				t.Errorf("claim answered %d, want %d", got, test.want)
			}
		})
	}
}

// A delayed duplicate of an attempt that released its claim must not get it again.
func TestReleasedAttemptIsStale(t *testing.T) {
	h := &commandLog{state: New()}
	h.claim(0, "k", "a")
	h.release(0, "k", "a")
	if got := h.claim(time.Second, "k", "a"); got != ClaimStale {
		t.Errorf("claim answered %d, want ClaimStale", got)
	}
}

// A full claim table refuses new keys, but still answers for the stored ones: a
// dropped claim would let its operation run twice.
func TestFullClaimTableRefusesNewKeys(t *testing.T) {
	h := &commandLog{state: New()}
	body := bytes.Repeat([]byte("x"), MaxOutcomeBytes)
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if code := h.claim(0, key, "a"); code == ClaimTableFull {
			break
		}
		h.settle(0, key, "a", Outcome{Status: 200, Body: body})
		if i > MaxClaims {
			t.Fatal("the claim table is never full")
		}
	}
	if got := h.claim(0, "key-0", "b"); got != ClaimStored {
		t.Errorf("claim on a settled key answered %d, want ClaimStored", got)
	}
}

// A restored state must encode as before and keep claims and change ids.
func TestSnapshotRoundTrip(t *testing.T) {
	h := &commandLog{state: New()}
	h.claim(0, "held", "a")
	h.claim(0, "settled", "a")
	h.settle(0, "settled", "a", Outcome{Status: 200, Body: []byte("paid")})
	put := &Put{Section: "ranks", ChangeID: "c1", Text: []byte("# text")}
	h.state.Apply(Position{Index: 9}, Command{At: start, Put: put})
	data, err := h.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, again) {
		t.Error("the restored state encodes differently")
	}
	result := restored.Apply(Position{Index: 10}, Command{At: start, Put: put})
	if !result.Put.Replayed || result.Put.Code != PutAccepted {
		t.Errorf("the repeated put after the restore got %+v, want a replayed acceptance", result.Put)
	}
	after := &commandLog{state: restored, index: 10}
	if got := after.claim(time.Second, "held", "b"); got != ClaimRunning {
		t.Errorf("claim on the held key answered %d, want ClaimRunning", got)
	}
}
