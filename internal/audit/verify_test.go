package audit

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the entry with the time d after startTime.
func at(d time.Duration, entry reducer.Audit) reducer.Audit {
	entry.At = startTime.Add(d)
	return entry
}

// validTrail returns records that are evidence for every promise and break none.
func validTrail() []reducer.Audit {
	return []reducer.Audit{
		at(0, reducer.Audit{Kind: reducer.AuditChange, Outcome: "accepted", Section: "ranks", Version: 1, Position: 5}),
		at(0, reducer.Audit{Kind: reducer.AuditChange, Outcome: "in-force", From: "vm", Position: 5}),
		at(0, reducer.Audit{Kind: reducer.AuditChange, Outcome: "rule", Service: "pay", To: "north", Position: 5}),
		at(0, reducer.Audit{Kind: reducer.AuditChange, Outcome: "domain", From: "north-a", To: "north", Position: 5}),
		at(0, reducer.Audit{Kind: reducer.AuditChange, Outcome: "domain", From: "south-a", To: "south", Position: 5}),
		at(0, reducer.Audit{Kind: reducer.AuditMember, Outcome: "announced", Service: "pay", Server: "s1"}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "weights", Service: "pay", To: "town", Amount: 0.1, Limit: 0.125, Count: 5000}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditLease, Outcome: "raised", Service: "pay", To: "south-a", Count: 2, Amount: 8, Limit: 10}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "granted", Service: "pay", Key: "k1", Request: "r1"}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "sending", Service: "pay", Key: "k1", Request: "r1", Server: "s1"}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "ended:shed", Service: "pay", Key: "k1", Request: "r1", Server: "s1"}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "sending", Service: "pay", Key: "k1", Request: "r1", Server: "s2"}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "ended:ok", Service: "pay", Key: "k1", Request: "r1", Server: "s2"}),
		at(time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "settled", Service: "pay", Key: "k1", Request: "r1"}),
		at(2*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "answered", Service: "pay", To: "north-a", Count: 7, Position: 5}),
		at(3*time.Second, reducer.Audit{Kind: reducer.AuditDrain, Outcome: "leaving", Service: "pay", Server: "s1"}),
		at(4*time.Second, reducer.Audit{Kind: reducer.AuditDrain, Outcome: "drained", Service: "pay", Server: "s1"}),
		at(4*time.Second, reducer.Audit{Kind: reducer.AuditDrain, Outcome: "stop-begin", Key: "patch", Server: "north-a", Section: "domain"}),
	}
}

// readTrail writes the entries as the chain of one VM and reads them back.
func readTrail(t *testing.T, entries []reducer.Audit) *Trails {
	t.Helper()
	folder := t.TempDir()
	writeTrail(t, folder, "vm.1", entries)
	trails, err := Read([]string{folder})
	if err != nil {
		t.Fatal(err)
	}
	return trails
}

func writeTrail(t *testing.T, folder, chainName string, entries []reducer.Audit) {
	t.Helper()
	writer, err := OpenWriter(folder)
	if err != nil {
		t.Fatal(err)
	}
	chain := Chain{Name: chainName}
	for _, entry := range entries {
		record, err := chain.Append(entry)
		if err != nil {
			t.Fatal(err)
		}
		if err := writer.Write(record); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
}

func verdictsByPromise(report Report) map[string]Verdict {
	byPromise := make(map[string]Verdict)
	for _, finding := range report.Findings {
		byPromise[finding.Promise] = finding.Verdict
	}
	return byPromise
}

// A promise is reported as held if records are evidence for it and none breaks it.
func TestValidTrailIsHeld(t *testing.T) {
	report := Verify(readTrail(t, validTrail()))
	for promise, verdict := range verdictsByPromise(report) {
		if verdict != Held {
			t.Errorf("%s: %s", promise, verdict)
		}
	}
}

// A trail without records is no evidence: no promise may be reported as held.
func TestEmptyTrailIsNotShown(t *testing.T) {
	for promise, verdict := range verdictsByPromise(Verify(&Trails{})) {
		if verdict != NotShown {
			t.Errorf("%s: %s, want not shown", promise, verdict)
		}
	}
}

// Each breach is reported for the promise that it breaks, and for no other.
func TestVerifyFindsBreaches(t *testing.T) {
	tests := map[string]struct {
		promise string
		entries []reducer.Audit // appended to a valid trail
	}{
		"weights above the cap": {PromiseShiftCap, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "weights", Service: "pay", To: "town", Amount: 0.1, Limit: 0.125, Count: 5000}),
		}},
		"spill above the cap": {PromiseShiftCap, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "spill", Service: "pay", Amount: 0.3, Limit: 0.1, Count: 100}),
		}},
		"lease above capacity": {PromiseNoOverload, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditLease, Outcome: "raised", Service: "pay", Count: 5, Amount: 12, Limit: 10}),
		}},
		"incomplete answer": {PromiseCompleteAnswer, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "short", Service: "pay", Count: 1}),
		}},
		"released after a send": {PromiseNotRun, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "granted", Service: "pay", Key: "k2", Request: "r2"}),
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "sending", Service: "pay", Key: "k2", Request: "r2", Server: "s2"}),
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "released", Service: "pay", Key: "k2", Request: "r2"}),
		}},
		"sent twice": {PromiseAtMostOnce, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "granted", Service: "pay", Key: "k1", Request: "r3"}),
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "sending", Service: "pay", Key: "k1", Request: "r3", Server: "s2"}),
		}},
		"sent without a claim": {PromiseAtMostOnce, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditClaim, Outcome: "sending", Service: "pay", Key: "k4", Request: "r4", Server: "s2"}),
		}},
		"work sent to a leaving server": {PromiseDrain, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "sent", Service: "pay", Server: "north-a/s1", To: "north-a", Count: 1, Position: 5}),
		}},
		"request cut off by a domain's stop": {PromisePlannedStop, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "body-cut", Service: "pay", To: "north-a", Count: 1, Position: 5}),
		}},
		"request cut off by a region's stop": {PromisePlannedStop, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditDrain, Outcome: "stop-begin", Key: "region", Server: "north", Section: "region"}),
			at(10*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "connection-lost", Service: "pay", To: "north-a", Count: 1, Position: 5}),
		}},
		"document reverts": {PromisePropagation, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditChange, Outcome: "in-force", From: "vm", Position: 4}),
		}},
		"change in force too late": {PromisePropagation, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditChange, Outcome: "accepted", Section: "ranks", Version: 2, Position: 8}),
			at(13*time.Second, reducer.Audit{Kind: reducer.AuditChange, Outcome: "in-force", From: "vm", Position: 8}),
		}},
		"request in a region that is not allowed": {PromiseAllowedRegions, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "answered", Service: "pay", To: "south-a", Count: 1, Position: 5}),
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := Verify(readTrail(t, append(validTrail(), test.entries...)))
			for promise, verdict := range verdictsByPromise(report) {
				if (verdict == Broken) != (promise == test.promise) {
					t.Errorf("%s: %s", promise, verdict)
				}
			}
		})
	}
}

// A record that was altered or removed in the files keeps the verdict on the trail
// from being held.
func TestVerifyDetectsTampering(t *testing.T) {
	tests := map[string]struct {
		tamper  func(text string) string
		verdict Verdict
	}{
		"altered record": {func(text string) string { return strings.Replace(text, `"count":7`, `"count":8`, 1) }, Broken},
		"removed record": {func(text string) string {
			lines := strings.SplitAfter(text, "\n")
			return strings.Join(append(lines[:5:5], lines[6:]...), "")
		}, NotShown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			writeTrail(t, folder, "vm.1", validTrail())
			names, err := fileNames(folder)
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(names[0])
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(names[0], []byte(test.tamper(string(text))), fileMode); err != nil {
				t.Fatal(err)
			}
			trails, err := Read([]string{folder})
			if err != nil {
				t.Fatal(err)
			}
			if got := verdictsByPromise(Verify(trails))[PromiseTrailIntact]; got != test.verdict {
				t.Errorf("verdict %s, want %s", got, test.verdict)
			}
		})
	}
}

// A trail whose last records are missing still has valid hashes; only the anchor in
// another VM's trail reveals the truncation.
func TestAnchorRevealsTruncatedTrail(t *testing.T) {
	folder := t.TempDir()
	entries := validTrail()
	writeTrail(t, folder, "vm.1", entries[:len(entries)-2])
	chain := Chain{Name: "vm.1"}
	var last Record
	for _, entry := range entries {
		last, _ = chain.Append(entry)
	}
	writeTrail(t, folder, "other.1", []reducer.Audit{
		at(5*time.Second, reducer.Audit{Kind: reducer.AuditAnchor, From: "vm.1", Version: last.Sequence, Hash: last.Hash}),
	})
	trails, err := Read([]string{folder})
	if err != nil {
		t.Fatal(err)
	}
	if got := verdictsByPromise(Verify(trails))[PromiseTrailIntact]; got != NotShown {
		t.Errorf("verdict %s, want not shown", got)
	}
}

// The summary lists for each kind the shift nearest to its limit, not the first one.
func TestSummaryListsPeakShifts(t *testing.T) {
	summary := Summarise(readTrail(t, append(validTrail(),
		at(20*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "spill", Service: "pay", Amount: 0.02, Limit: 0.06, Count: 50}),
		at(25*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "spill", Service: "pay", Amount: 0.06, Limit: 0.08, Count: 50}),
	)))
	want := []PeakShift{
		{Service: "pay", Kind: "spill", Steps: 2, Share: 0.06, Limit: 0.08},
		{Service: "pay", Kind: "weights", Steps: 1, Share: 0.1, Limit: 0.125},
	}
	if !slices.Equal(summary.Shifts, want) {
		t.Errorf("shifts %+v, want %+v", summary.Shifts, want)
	}
	var html strings.Builder
	if err := summary.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(html.String(), "Shifts against their caps") {
		t.Error("the HTML report lacks the shifts")
	}
}
