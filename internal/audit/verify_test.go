package audit

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration, entry reducer.Audit) reducer.Audit {
	entry.At = start.Add(d)
	return entry
}

// soundTrail holds evidence for every promise and no breach.
func soundTrail() []reducer.Audit {
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

func trailsOf(t *testing.T, entries []reducer.Audit) *Trails {
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

func verdicts(report Report) map[string]Verdict {
	all := make(map[string]Verdict)
	for _, finding := range report.Findings {
		all[finding.Promise] = finding.Verdict
	}
	return all
}

func TestSoundTrailHolds(t *testing.T) {
	report := Verify(trailsOf(t, soundTrail()))
	for promise, verdict := range verdicts(report) {
		if verdict != Held {
			t.Errorf("%s: %s", promise, verdict)
		}
	}
}

func TestEmptyTrailShowsNothing(t *testing.T) {
	for promise, verdict := range verdicts(Verify(&Trails{})) {
		if verdict != NotShown {
			t.Errorf("%s: %s, want not shown", promise, verdict)
		}
	}
}

func TestPlantedBreachesAreFound(t *testing.T) {
	tests := map[string]struct {
		promise string
		plant   []reducer.Audit
	}{
		"weights beyond the cap": {PromiseCap, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "weights", Service: "pay", To: "town", Amount: 0.1, Limit: 0.125, Count: 5000}),
		}},
		"spill beyond the cap": {PromiseCap, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "spill", Service: "pay", Amount: 0.3, Limit: 0.1, Count: 100}),
		}},
		"lease beyond capacity": {PromiseOverload, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditLease, Outcome: "raised", Service: "pay", Count: 5, Amount: 12, Limit: 10}),
		}},
		"short answer": {PromiseWhole, []reducer.Audit{
			at(3*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "short", Service: "pay", Count: 1}),
		}},
		"released after it ran": {PromiseNotRun, []reducer.Audit{
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
		"work for a leaving server": {PromiseLeaving, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "sent", Service: "pay", Server: "north-a/s1", To: "north-a", Count: 1, Position: 5}),
		}},
		"request cut off by a stop": {PromiseStop, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "body-cut", Service: "pay", To: "north-a", Count: 1, Position: 5}),
		}},
		"request cut off by a region's stop": {PromiseStop, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditDrain, Outcome: "stop-begin", Key: "region", Server: "north", Section: "region"}),
			at(10*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "connection-lost", Service: "pay", To: "north-a", Count: 1, Position: 5}),
		}},
		"document reverts": {PromiseForce, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditChange, Outcome: "in-force", From: "vm", Position: 4}),
		}},
		"change late in force": {PromiseForce, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditChange, Outcome: "accepted", Section: "ranks", Version: 2, Position: 8}),
			at(13*time.Second, reducer.Audit{Kind: reducer.AuditChange, Outcome: "in-force", From: "vm", Position: 8}),
		}},
		"region that is not allowed": {PromiseRules, []reducer.Audit{
			at(9*time.Second, reducer.Audit{Kind: reducer.AuditTally, Outcome: "answered", Service: "pay", To: "south-a", Count: 1, Position: 5}),
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := Verify(trailsOf(t, append(soundTrail(), test.plant...)))
			for promise, verdict := range verdicts(report) {
				if (verdict == Broken) != (promise == test.promise) {
					t.Errorf("%s: %s", promise, verdict)
				}
			}
		})
	}
}

func TestTamperingIsFound(t *testing.T) {
	tests := map[string]struct {
		tamper  func(text string) string
		verdict Verdict
	}{
		"edited record": {func(text string) string { return strings.Replace(text, `"count":7`, `"count":8`, 1) }, Broken},
		"removed record": {func(text string) string {
			lines := strings.SplitAfter(text, "\n")
			return strings.Join(append(lines[:5:5], lines[6:]...), "")
		}, NotShown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			writeTrail(t, folder, "vm.1", soundTrail())
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
			if got := verdicts(Verify(trails))[PromiseTrail]; got != test.verdict {
				t.Errorf("verdict %s, want %s", got, test.verdict)
			}
		})
	}
}

// The end of a trail is cut off together with its hashes; only the anchor in
// another VM's trail shows it.
func TestCutEndIsFoundByTheAnchor(t *testing.T) {
	folder := t.TempDir()
	entries := soundTrail()
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
	if got := verdicts(Verify(trails))[PromiseTrail]; got != NotShown {
		t.Errorf("verdict %s, want not shown", got)
	}
}

func TestReportShowsShiftsAgainstCaps(t *testing.T) {
	summary := Summarise(trailsOf(t, append(soundTrail(),
		at(20*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "spill", Service: "pay", Amount: 0.02, Limit: 0.06, Count: 50}),
		at(25*time.Second, reducer.Audit{Kind: reducer.AuditPlan, Outcome: "spill", Service: "pay", Amount: 0.06, Limit: 0.08, Count: 50}),
	)))
	want := []Shifted{
		{Service: "pay", Way: "spill", Steps: 2, Share: 0.06, Limit: 0.08},
		{Service: "pay", Way: "weights", Steps: 1, Share: 0.1, Limit: 0.125},
	}
	if !slices.Equal(summary.Shifts, want) {
		t.Errorf("shifts %+v, want %+v", summary.Shifts, want)
	}
	var page strings.Builder
	if err := summary.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(page.String(), "Shifts against their caps") {
		t.Error("the page lacks the shifts")
	}
}
