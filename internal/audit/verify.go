package audit

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Verdict is what the trails say of one promise.
type Verdict string

// The verdicts; Held is only given on evidence.
const (
	Held     Verdict = "held"
	Broken   Verdict = "broken"
	NotShown Verdict = "not shown"
)

// Finding is the verdict on one promise.
type Finding struct {
	Promise  string   `json:"promise"`
	Verdict  Verdict  `json:"verdict"`
	Checked  int      `json:"checked"` // records that speak of it
	Broken   []Breach `json:"broken,omitempty"`
	Missing  []string `json:"missing,omitempty"`
	breaches int
}

// Breach is a record that breaks a promise.
type Breach struct {
	Chain    string `json:"chain"`
	Sequence uint64 `json:"sequence"`
	Text     string `json:"text"`
}

// Report is the result of a verification.
type Report struct {
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Records  int       `json:"records"`
	Chains   int       `json:"chains"`
	Findings []Finding `json:"findings"`
	Faults   []Fault   `json:"faults,omitempty"`
}

// Names of the promises, in the order of the brief.
const (
	PromiseCap        = "a shift of traffic never exceeds its cap"
	PromiseOverload   = "no steering decision overloads a region"
	PromiseWhole      = "every caller receives the whole answer to its own request"
	PromiseNotRun     = "a refusal that says not run is true"
	PromiseAtMostOnce = "an operation that may not be repeated runs at most once"
	PromiseLeaving    = "a leaving backend server receives no new work"
	PromiseStop       = "a planned stop cuts off no request"
	PromiseForce      = "an accepted change is in force everywhere within seconds and never reverts"
	PromiseRules      = "each request went where the rules allowed"
	PromiseTrail      = "the audit trail is whole"
)

// Bounds that the promises state.
const (
	leavingBound = 2 * time.Second
	forceBound   = 3 * time.Second
	tallySlack   = time.Second // a tally covers the second before it
	maxBreaches  = 20          // shown of one promise
)

// check collects the finding on one promise.
type check struct {
	Finding
	trails *Trails
}

func (c *check) breach(r Record, format string, args ...any) {
	c.breaches++
	if len(c.Finding.Broken) < maxBreaches {
		c.Finding.Broken = append(c.Finding.Broken, Breach{Chain: r.Chain, Sequence: r.Sequence, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *check) missing(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(c.Finding.Missing, text) && len(c.Finding.Missing) < maxBreaches {
		c.Finding.Missing = append(c.Finding.Missing, text)
	}
}

// Verify checks every promise against the trails.
func Verify(t *Trails) Report {
	report := Report{Records: len(t.Records), Faults: t.Faults}
	last := ""
	for _, r := range t.Records {
		if r.Chain != last {
			report.Chains++
			last = r.Chain
		}
		if report.From.IsZero() || r.Entry.At.Before(report.From) {
			report.From = r.Entry.At
		}
		if r.Entry.At.After(report.To) {
			report.To = r.Entry.At
		}
	}
	checks := []struct {
		promise string
		run     func(*check)
	}{
		{PromiseCap, checkCap},
		{PromiseOverload, checkOverload},
		{PromiseWhole, checkWhole},
		{PromiseNotRun, checkNotRun},
		{PromiseAtMostOnce, checkOnce},
		{PromiseLeaving, checkLeaving},
		{PromiseStop, checkStop},
		{PromiseForce, checkForce},
		{PromiseRules, checkRules},
		{PromiseTrail, checkTrail},
	}
	for _, entry := range checks {
		c := &check{Finding: Finding{Promise: entry.promise}, trails: t}
		entry.run(c)
		report.Findings = append(report.Findings, c.conclude())
	}
	return report
}

// conclude never says held without records, nor while records are missing.
func (c *check) conclude() Finding {
	f := c.Finding
	missing := missingRecords(c.trails)
	switch {
	case c.breaches > 0:
		f.Verdict = Broken
	case f.Checked == 0:
		f.Verdict = NotShown
		f.Missing = append(f.Missing, "no record speaks of it")
	case len(f.Missing) > 0:
		f.Verdict = NotShown
	case missing != "":
		f.Verdict = NotShown
		f.Missing = append(f.Missing, missing)
	default:
		f.Verdict = Held
	}
	return f
}

// missingRecords describes the first hole in the trails.
func missingRecords(t *Trails) string {
	for _, fault := range t.Faults {
		if fault.Kind == FaultMissing && fault.File == "" {
			return fmt.Sprintf("trail %s: %s", fault.Chain, fault.Text)
		}
	}
	for _, r := range t.Records {
		if r.Entry.Kind == reducer.AuditTally && r.Entry.Outcome == "dropped" {
			return fmt.Sprintf("trail %s admits %d lost records", r.Chain, r.Entry.Count)
		}
	}
	return ""
}

const rounding = 1e-9

func checkCap(c *check) {
	windows := make(map[string][]Record)
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditPlan {
			continue
		}
		c.Checked++
		if r.Entry.Outcome != "weights" {
			if r.Entry.Amount > r.Entry.Limit+rounding {
				c.breach(r, "%s of %s moved %.3f of the traffic, allowed %.3f", r.Entry.Outcome, r.Entry.Service, r.Entry.Amount, r.Entry.Limit)
			}
			continue
		}
		key := r.Chain + "\x00" + r.Entry.Service
		windows[key] = append(windows[key], r)
	}
	for _, key := range sortedKeys(windows) {
		c.checkWindow(windows[key])
	}
	c.checkedByTally()
}

// checkWindow sums the steps of one VM and service over each interval; each
// record holds the place that moved most, so no place moved more than the sum.
func (c *check) checkWindow(steps []Record) {
	sum, first := 0.0, 0
	for i, r := range steps {
		sum += r.Entry.Amount
		interval := time.Duration(r.Entry.Count) * time.Millisecond
		for r.Entry.At.Sub(steps[first].Entry.At) >= interval && first < i {
			sum -= steps[first].Entry.Amount
			first++
		}
		if sum > r.Entry.Limit+rounding {
			c.breach(r, "weights of %s moved up to %.3f within %s, allowed %.3f", r.Entry.Service, sum, interval, r.Entry.Limit)
		}
	}
}

// checkedByTally counts tallies as evidence: traffic ran and nothing moved.
func (c *check) checkedByTally() {
	for _, r := range c.trails.Records {
		if r.Entry.Kind == reducer.AuditTally {
			c.Checked++
		}
	}
}

func checkOverload(c *check) {
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditLease {
			continue
		}
		c.Checked++
		if r.Entry.Outcome == "raised" && r.Entry.Amount > r.Entry.Limit+rounding {
			c.breach(r, "lease of %s raised to %d slots for %s with %.0f of %.0f slots taken", r.Entry.Service, r.Entry.Count, r.Entry.To, r.Entry.Amount, r.Entry.Limit)
		}
	}
	c.checkedByTally()
}

func checkWhole(c *check) {
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditTally {
			continue
		}
		c.Checked++
		if r.Entry.Outcome == "short" {
			c.breach(r, "%d answers of %s were passed on short as whole", r.Entry.Count, r.Entry.Service)
		}
	}
}

// serverKey names a server; one that is used over a lease has its failure domain
// before its id.
func serverKey(r Record) string {
	server := r.Entry.Server[strings.LastIndexByte(r.Entry.Server, '/')+1:]
	return r.Entry.Service + "\x00" + server
}

func checkLeaving(c *check) {
	left := make(map[string]Record)
	for _, r := range c.trails.Records {
		key := serverKey(r)
		if r.Entry.Kind == reducer.AuditDrain && (r.Entry.Outcome == "leaving" || r.Entry.Outcome == "drained") {
			c.Checked++
			if known, found := left[key]; !found || r.Entry.At.Before(known.Entry.At) {
				left[key] = r
			}
		}
	}
	back := returns(c.trails)
	for _, r := range c.trails.Records {
		sent := r.Entry.Kind == reducer.AuditClaim && r.Entry.Outcome == "sending" ||
			r.Entry.Kind == reducer.AuditTally && r.Entry.Outcome == "sent"
		leaving, found := left[serverKey(r)]
		if !sent || !found {
			continue
		}
		bound := leavingBound
		if r.Entry.Kind == reducer.AuditTally {
			bound += tallySlack
		}
		late := r.Entry.At.Sub(leaving.Entry.At)
		if late > bound && !back.between(serverKey(r), leaving.Entry.At, r.Entry.At) {
			c.breach(r, "server %s got work %s after it was leaving", r.Entry.Server, late.Round(time.Millisecond))
		}
	}
}

// announcements are the times at which servers were new.
type announcements map[string][]time.Time

func returns(t *Trails) announcements {
	all := make(announcements)
	for _, r := range t.Records {
		if r.Entry.Kind == reducer.AuditMember && r.Entry.Outcome == "announced" {
			key := serverKey(r)
			all[key] = append(all[key], r.Entry.At)
		}
	}
	return all
}

func (a announcements) between(key string, from, to time.Time) bool {
	for _, at := range a[key] {
		if at.After(from) && !at.After(to) {
			return true
		}
	}
	return false
}

func checkStop(c *check) {
	type window struct{ begin, end time.Time }
	open := make(map[string]window)
	kinds := make(map[string]string)
	regions := regionsOf(c.trails)
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditDrain || !strings.HasPrefix(r.Entry.Outcome, "stop-") {
			continue
		}
		c.Checked++
		w := open[r.Entry.Server]
		kinds[r.Entry.Server] = r.Entry.Section
		if r.Entry.Outcome == "stop-begin" && (w.begin.IsZero() || r.Entry.At.Before(w.begin)) {
			w.begin = r.Entry.At
		}
		if r.Entry.Outcome == "stop-end" && r.Entry.At.After(w.end) {
			w.end = r.Entry.At
		}
		open[r.Entry.Server] = w
	}
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditTally || (r.Entry.Outcome != "body-cut" && r.Entry.Outcome != "connection-lost") {
			continue
		}
		for _, what := range sortedKeys(open) {
			w := open[what]
			if kinds[what] == "region" && r.Entry.To != "" && regions[r.Entry.To] == "" {
				c.missing("region of failure domain %s", r.Entry.To)
			}
			covered := kinds[what] == "domain" && r.Entry.To == what || kinds[what] == "region" && regions[r.Entry.To] == what
			if covered && !r.Entry.At.Before(w.begin) && (w.end.IsZero() || !r.Entry.At.After(w.end)) {
				c.breach(r, "%d requests of %s were cut off during the planned stop of %s", r.Entry.Count, r.Entry.Service, what)
			}
		}
	}
}

func checkTrail(c *check) {
	c.Checked = len(c.trails.Records)
	for _, fault := range c.trails.Faults {
		if fault.Kind == FaultAltered {
			c.breach(Record{Chain: fault.Chain + fault.File, Sequence: fault.Sequence}, "%s", fault.Text)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
