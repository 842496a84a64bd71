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

// history applies commands at rising positions.
type history struct {
	state *State
	index uint64
}

func (h *history) claim(at time.Duration, key, attempt string) ClaimCode {
	h.index++
	claim := &Claim{Key: Key{Service: "pay", Key: key}, Attempt: attempt, Hold: hold, Keep: keep}
	return h.state.Apply(Position{Index: h.index}, Command{At: start.Add(at), Claim: claim}).Claim.Code
}

func (h *history) release(at time.Duration, key, attempt string) {
	h.index++
	h.state.Apply(Position{Index: h.index}, Command{At: start.Add(at), Release: &Release{Key: Key{Service: "pay", Key: key}, Attempt: attempt}})
}

func (h *history) settle(at time.Duration, key, attempt string, outcome Outcome) {
	h.index++
	h.state.Apply(Position{Index: h.index}, Command{At: start.Add(at), Settle: &Settle{Key: Key{Service: "pay", Key: key}, Attempt: attempt, Outcome: outcome}})
}

func TestClaims(t *testing.T) {
	tests := map[string]struct {
		steps func(h *history)
		at    time.Duration
		want  ClaimCode
	}{
		"first":                       {func(*history) {}, 0, ClaimGranted},
		"while another holds it":      {func(h *history) { h.claim(0, "k", "a") }, time.Second, ClaimRunning},
		"after the hold":              {func(h *history) { h.claim(0, "k", "a") }, hold, ClaimOutcomeUnknown},
		"after a release":             {func(h *history) { h.claim(0, "k", "a"); h.release(0, "k", "a") }, time.Second, ClaimGranted},
		"release by another":          {func(h *history) { h.claim(0, "k", "a"); h.release(0, "k", "x") }, time.Second, ClaimRunning},
		"release after the hold":      {func(h *history) { h.claim(0, "k", "a"); h.release(hold, "k", "a") }, hold, ClaimOutcomeUnknown},
		"after an outcome":            {func(h *history) { h.claim(0, "k", "a"); h.settle(0, "k", "a", Outcome{Status: 200}) }, time.Second, ClaimStored},
		"after an unknown one":        {func(h *history) { h.claim(0, "k", "a"); h.settle(0, "k", "a", Outcome{Unknown: true}) }, time.Second, ClaimOutcomeUnknown},
		"outcome after the hold":      {func(h *history) { h.claim(0, "k", "a"); h.settle(2*hold, "k", "a", Outcome{Status: 200}) }, 2 * hold, ClaimStored},
		"outcome of another":          {func(h *history) { h.claim(0, "k", "a"); h.settle(0, "k", "x", Outcome{Status: 200}) }, time.Second, ClaimRunning},
		"just before it is forgotten": {func(h *history) { h.claim(0, "k", "a") }, keep - 1, ClaimOutcomeUnknown},
		"once it is forgotten":        {func(h *history) { h.claim(0, "k", "a") }, keep, ClaimGranted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &history{state: New()}
			test.steps(h)
			if got := h.claim(test.at, "k", "b"); got != test.want {
				t.Errorf("claim answered %d, want %d", got, test.want)
			}
		})
	}
}

// A late copy of an attempt that gave its claim back must not take it again.
func TestReleasedAttemptStaysReleased(t *testing.T) {
	h := &history{state: New()}
	h.claim(0, "k", "a")
	h.release(0, "k", "a")
	if got := h.claim(time.Second, "k", "a"); got != ClaimStale {
		t.Errorf("claim answered %d, want ClaimStale", got)
	}
}

func TestFullTableRefuses(t *testing.T) {
	h := &history{state: New()}
	body := bytes.Repeat([]byte("x"), MaxOutcomeBytes)
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if code := h.claim(0, key, "a"); code == ClaimTableFull {
			break
		}
		h.settle(0, key, "a", Outcome{Status: 200, Body: body})
		if i > MaxClaims {
			t.Fatal("the table is never full")
		}
	}
	if got := h.claim(0, "key-0", "b"); got != ClaimStored {
		t.Errorf("a remembered key answered %d, want ClaimStored", got)
	}
}

func TestSnapshotKeepsEverything(t *testing.T) {
	h := &history{state: New()}
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
		t.Error("a restored state encodes differently")
	}
	result := restored.Apply(Position{Index: 10}, Command{At: start, Put: put})
	if !result.Put.Replayed || result.Put.Code != PutAccepted {
		t.Errorf("a resend after the restore got %+v", result.Put)
	}
	after := &history{state: restored, index: 10}
	if got := after.claim(time.Second, "held", "b"); got != ClaimRunning {
		t.Errorf("the held key answered %d, want ClaimRunning", got)
	}
}
