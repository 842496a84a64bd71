package audit

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Verdict is the result of checking one promise against the trails.
type Verdict string

// The verdicts.
const (
	Held     Verdict = "held"      // records show it, none breaks it and none is missing
	Broken   Verdict = "broken"    // a record breaks it
	NotShown Verdict = "not shown" // no record is about it, or records are missing
)

// Finding is the verdict on one promise, with at most maxDetails breaches and
// missing items.
type Finding struct {
	Promise     string   `json:"promise"`
	Verdict     Verdict  `json:"verdict"`
	Checked     int      `json:"checked"` // records that are evidence for or against it
	Broken      []Breach `json:"broken,omitempty"`
	Missing     []string `json:"missing,omitempty"`
	breachCount int
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

// The promises, in the order in which reports list them.
const (
	PromiseShiftCap       = "a shift of traffic never exceeds its cap"
	PromiseNoOverload     = "no steering decision overloads a region"
	PromiseCompleteAnswer = "every caller receives the whole answer to its own request"
	PromiseNotRun         = "a refusal that says not run is true"
	PromiseAtMostOnce     = "an operation that may not be repeated runs at most once"
	PromiseDrain          = "a leaving backend server receives no new work"
	PromisePlannedStop    = "a planned stop cuts off no request"
	PromisePropagation    = "an accepted change is in force everywhere within seconds and never reverts"
	PromiseAllowedRegions = "each request went where the rules allowed"
	PromiseTrailIntact    = "the audit trail is whole"
)

// Limits of the checks.
const (
	maxDrainDelay       = 2 * time.Second // from a server's leaving to the last work sent to it
	maxPropagationDelay = 3 * time.Second // from accepting a change to its being in force on a VM
	tallyPeriod         = time.Second     // a tally covers the second before it
	maxDetails          = 20              // breaches, and missing items, listed for one promise
)

// check gathers the evidence on one promise.
type check struct {
	Finding
	trails *Trails
}

func (c *check) addBreach(r Record, format string, args ...any) {
	c.breachCount++
	if len(c.Finding.Broken) < maxDetails {
		c.Finding.Broken = append(c.Finding.Broken, Breach{Chain: r.Chain, Sequence: r.Sequence, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *check) addMissing(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(c.Finding.Missing, text) && len(c.Finding.Missing) < maxDetails {
		c.Finding.Missing = append(c.Finding.Missing, text)
	}
}

// Verify checks every promise against the trails.
func Verify(t *Trails) Report {
	report := Report{Records: len(t.Records), Faults: t.Faults}
	lastChain := ""
	for _, r := range t.Records {
		if r.Chain != lastChain {
			report.Chains++
			lastChain = r.Chain
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
		{PromiseShiftCap, checkShiftCap},
		{PromiseNoOverload, checkOverload},
		{PromiseCompleteAnswer, checkCompleteAnswers},
		{PromiseNotRun, checkNotRun},
		{PromiseAtMostOnce, checkOnce},
		{PromiseDrain, checkDrain},
		{PromisePlannedStop, checkPlannedStops},
		{PromisePropagation, checkPropagation},
		{PromiseAllowedRegions, checkAllowedRegions},
		{PromiseTrailIntact, checkTrailIntact},
	}
	for _, entry := range checks {
		c := &check{Finding: Finding{Promise: entry.promise}, trails: t}
		entry.run(c)
		report.Findings = append(report.Findings, c.decideVerdict())
	}
	return report
}

// decideVerdict returns the finding with its verdict. Held takes at least one
// record, and trails without gaps.
func (c *check) decideVerdict() Finding {
	f := c.Finding
	gap := describeFirstGap(c.trails)
	switch {
	case c.breachCount > 0:
		f.Verdict = Broken
	case f.Checked == 0:
		f.Verdict = NotShown
		f.Missing = append(f.Missing, "no record speaks of it")
	case len(f.Missing) > 0:
		f.Verdict = NotShown
	case gap != "":
		f.Verdict = NotShown
		f.Missing = append(f.Missing, gap)
	default:
		f.Verdict = Held
	}
	return f
}

// describeFirstGap describes the first place where the trails lack records, or
// returns "" if there is none. A last line that a crash cut short is no gap: its
// record was not synced.
func describeFirstGap(t *Trails) string {
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

// roundingTolerance allows for rounding errors in sums of shares.
const roundingTolerance = 1e-9

// checkShiftCap compares the share of traffic that each shift moved with its cap:
// weight changes by their sum over an interval, other shifts one by one.
func checkShiftCap(c *check) {
	weightSteps := make(map[string][]Record)
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditPlan {
			continue
		}
		c.Checked++
		if r.Entry.Outcome != "weights" {
			if r.Entry.Amount > r.Entry.Limit+roundingTolerance {
				c.addBreach(r, "%s of %s moved %.3f of the traffic, allowed %.3f", r.Entry.Outcome, r.Entry.Service, r.Entry.Amount, r.Entry.Limit)
			}
			continue
		}
		key := r.Chain + "\x00" + r.Entry.Service
		weightSteps[key] = append(weightSteps[key], r)
	}
	for _, key := range sortedKeys(weightSteps) {
		c.checkWeightSteps(weightSteps[key])
	}
	c.countTallies()
}

// checkWeightSteps sums the weight changes of one VM and service over a sliding
// interval. Each record holds the change of the place that moved most, so no
// place moved more than the sum.
func (c *check) checkWeightSteps(steps []Record) {
	sum, first := 0.0, 0
	for i, r := range steps {
		sum += r.Entry.Amount
		interval := time.Duration(r.Entry.Count) * time.Millisecond
		for r.Entry.At.Sub(steps[first].Entry.At) >= interval && first < i {
			sum -= steps[first].Entry.Amount
			first++
		}
		if sum > r.Entry.Limit+roundingTolerance {
			c.addBreach(r, "weights of %s moved up to %.3f within %s, allowed %.3f", r.Entry.Service, sum, interval, r.Entry.Limit)
		}
	}
}

// countTallies counts tallies as evidence too: they show that requests ran even
// where no shift, lease or claim was recorded.
func (c *check) countTallies() {
	for _, r := range c.trails.Records {
		if r.Entry.Kind == reducer.AuditTally {
			c.Checked++
		}
	}
}

// checkOverload finds leases that were raised so far that more slots were taken
// than the lending failure domain has.
func checkOverload(c *check) {
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditLease {
			continue
		}
		c.Checked++
		if r.Entry.Outcome == "raised" && r.Entry.Amount > r.Entry.Limit+roundingTolerance {
			c.addBreach(r, "lease of %s raised to %d slots for %s with %.0f of %.0f slots taken", r.Entry.Service, r.Entry.Count, r.Entry.To, r.Entry.Amount, r.Entry.Limit)
		}
	}
	c.countTallies()
}

// checkCompleteAnswers finds answers that ended early but were passed on as
// complete.
func checkCompleteAnswers(c *check) {
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditTally {
			continue
		}
		c.Checked++
		if r.Entry.Outcome == "short" {
			c.addBreach(r, "%d answers of %s were passed on short as whole", r.Entry.Count, r.Entry.Service)
		}
	}
}

// serverKey identifies a server by its service and id. Records of a server that is
// used under a lease have its failure domain before the id, as DOMAIN/ID.
func serverKey(r Record) string {
	id := r.Entry.Server[strings.LastIndexByte(r.Entry.Server, '/')+1:]
	return r.Entry.Service + "\x00" + id
}

// checkDrain finds work that was sent to a server more than maxDrainDelay after it
// began to leave and before it was announced again. The time of a tally may be up to
// tallyPeriod later.
func checkDrain(c *check) {
	firstLeaving := make(map[string]Record)
	for _, r := range c.trails.Records {
		key := serverKey(r)
		if r.Entry.Kind == reducer.AuditDrain && (r.Entry.Outcome == "leaving" || r.Entry.Outcome == "drained") {
			c.Checked++
			if earlier, found := firstLeaving[key]; !found || r.Entry.At.Before(earlier.Entry.At) {
				firstLeaving[key] = r
			}
		}
	}
	announced := collectAnnouncements(c.trails)
	for _, r := range c.trails.Records {
		sent := r.Entry.Kind == reducer.AuditClaim && r.Entry.Outcome == "sending" ||
			r.Entry.Kind == reducer.AuditTally && r.Entry.Outcome == "sent"
		leaving, found := firstLeaving[serverKey(r)]
		if !sent || !found {
			continue
		}
		maxDelay := maxDrainDelay
		if r.Entry.Kind == reducer.AuditTally {
			maxDelay += tallyPeriod
		}
		delay := r.Entry.At.Sub(leaving.Entry.At)
		if delay > maxDelay && !announced.between(serverKey(r), leaving.Entry.At, r.Entry.At) {
			c.addBreach(r, "server %s got work %s after it was leaving", r.Entry.Server, delay.Round(time.Millisecond))
		}
	}
}

// announcements holds the times at which each server was announced, by serverKey.
type announcements map[string][]time.Time

// collectAnnouncements returns the announcements that the trails record.
func collectAnnouncements(t *Trails) announcements {
	times := make(announcements)
	for _, r := range t.Records {
		if r.Entry.Kind == reducer.AuditMember && r.Entry.Outcome == "announced" {
			key := serverKey(r)
			times[key] = append(times[key], r.Entry.At)
		}
	}
	return times
}

// between reports whether the server was announced after from and not after to.
func (a announcements) between(key string, from, to time.Time) bool {
	for _, at := range a[key] {
		if at.After(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// checkPlannedStops finds requests that were cut off in a failure domain while it,
// or its region, had a planned stop.
func checkPlannedStops(c *check) {
	type window struct{ begin, end time.Time }
	windows := make(map[string]window) // by the failure domain or region that stops
	kinds := make(map[string]string)   // "domain" or "region", by the same key
	regions := domainRegions(c.trails)
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditDrain || !strings.HasPrefix(r.Entry.Outcome, "stop-") {
			continue
		}
		c.Checked++
		w := windows[r.Entry.Server]
		kinds[r.Entry.Server] = r.Entry.Section
		if r.Entry.Outcome == "stop-begin" && (w.begin.IsZero() || r.Entry.At.Before(w.begin)) {
			w.begin = r.Entry.At
		}
		if r.Entry.Outcome == "stop-end" && r.Entry.At.After(w.end) {
			w.end = r.Entry.At
		}
		windows[r.Entry.Server] = w
	}
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditTally || (r.Entry.Outcome != "body-cut" && r.Entry.Outcome != "connection-lost") {
			continue
		}
		for _, name := range sortedKeys(windows) {
			w := windows[name]
			if kinds[name] == "region" && r.Entry.To != "" && regions[r.Entry.To] == "" {
				c.addMissing("region of failure domain %s", r.Entry.To)
			}
			covered := kinds[name] == "domain" && r.Entry.To == name || kinds[name] == "region" && regions[r.Entry.To] == name
			if covered && !r.Entry.At.Before(w.begin) && (w.end.IsZero() || !r.Entry.At.After(w.end)) {
				c.addBreach(r, "%d requests of %s were cut off during the planned stop of %s", r.Entry.Count, r.Entry.Service, name)
			}
		}
	}
}

// checkTrailIntact reports altered records as breaches; missing ones only keep the
// verdict from being Held.
func checkTrailIntact(c *check) {
	c.Checked = len(c.trails.Records)
	for _, fault := range c.trails.Faults {
		if fault.Kind == FaultAltered {
			c.addBreach(Record{Chain: fault.Chain + fault.File, Sequence: fault.Sequence}, "%s", fault.Text)
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
