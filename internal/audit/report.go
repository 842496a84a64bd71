package audit

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Summary is a verification with the changes, drains, requests and traffic shifts
// that the trails record.
type Summary struct {
	Report
	Changes          []Record       `json:"changes"`
	Drains           []Record       `json:"drains"`
	RequestsByRank   []RequestCount `json:"served"`
	RequestsByDomain []RequestCount `json:"regions"`
	Shifts           []PeakShift    `json:"shifts"`
	LastRecordAt     time.Time      `json:"made"` // time of the latest record
}

// PeakShift is the traffic shift of a service and kind that came nearest to its
// limit.
type PeakShift struct {
	Service string  `json:"service"`
	Kind    string  `json:"way"`   // what moved the traffic: weights, arrival or spill
	Steps   int     `json:"steps"` // recorded shifts of this kind
	Share   float64 `json:"share"` // part of the traffic that was moved
	Limit   float64 `json:"limit"` // largest share allowed
}

// PercentOfLimit returns the share in percent of its limit, 0 if the limit is 0.
func (s PeakShift) PercentOfLimit() int {
	if s.Limit == 0 {
		return 0
	}
	return int(100 * s.Share / s.Limit)
}

// RequestCount is the number of requests of a service with one outcome, by rank or
// by failure domain.
type RequestCount struct {
	Service    string `json:"service"`
	Rank       string `json:"rank,omitempty"`
	Outcome    string `json:"outcome"`
	To         string `json:"to,omitempty"` // failure domain
	Count      int64  `json:"count"`
	BarPercent int    `json:"-"` // length of the bar in percent of the longest
}

// Summarise verifies the trails and summarises their records.
func Summarise(t *Trails) Summary {
	s := Summary{Report: Verify(t)}
	s.LastRecordAt = s.Report.To
	byRank := make(map[string]*RequestCount)
	byDomain := make(map[string]*RequestCount)
	peaks := make(map[string]*PeakShift)
	for _, r := range t.Records {
		switch {
		case r.Entry.Kind == reducer.AuditPlan:
			addShift(peaks, r.Entry)
		case r.Entry.Kind == reducer.AuditChange && r.Entry.Section != "":
			s.Changes = append(s.Changes, r)
		case r.Entry.Kind == reducer.AuditDrain:
			s.Drains = append(s.Drains, r)
		case r.Entry.Kind == reducer.AuditTally && r.Entry.Outcome != "sent" && r.Entry.Outcome != "dropped":
			addCount(byRank, RequestCount{Service: r.Entry.Service, Rank: r.Entry.Rank, Outcome: r.Entry.Outcome, Count: r.Entry.Count})
			if r.Entry.To != "" {
				addCount(byDomain, RequestCount{Service: r.Entry.Service, To: r.Entry.To, Outcome: r.Entry.Outcome, Count: r.Entry.Count})
			}
		}
	}
	s.RequestsByRank, s.RequestsByDomain = sortedCounts(byRank), sortedCounts(byDomain)
	for _, key := range sortedKeys(peaks) {
		s.Shifts = append(s.Shifts, *peaks[key])
	}
	return s
}

// addShift counts a shift and keeps the one that used the most of its limit.
func addShift(peaks map[string]*PeakShift, entry reducer.Audit) {
	key := entry.Service + "\x00" + entry.Outcome
	shift := PeakShift{Service: entry.Service, Kind: entry.Outcome, Share: entry.Amount, Limit: entry.Limit}
	peak := peaks[key]
	if peak == nil {
		peak = &PeakShift{}
		peaks[key] = peak
	}
	shift.Steps = peak.Steps + 1
	if peak.Steps > 0 && peak.PercentOfLimit() >= shift.PercentOfLimit() {
		shift.Share, shift.Limit = peak.Share, peak.Limit
	}
	*peak = shift
}

// addCount adds the requests to the group with the same service, rank, failure
// domain and outcome.
func addCount(groups map[string]*RequestCount, added RequestCount) {
	key := added.Service + "\x00" + added.Rank + "\x00" + added.To + "\x00" + added.Outcome
	if groups[key] == nil {
		groups[key] = &RequestCount{Service: added.Service, Rank: added.Rank, To: added.To, Outcome: added.Outcome}
	}
	groups[key].Count += added.Count
}

// sortedCounts returns the groups sorted by key, with the lengths of their bars.
func sortedCounts(groups map[string]*RequestCount) []RequestCount {
	largest := int64(1)
	for _, group := range groups {
		largest = max(largest, group.Count)
	}
	counts := make([]RequestCount, 0, len(groups))
	for _, key := range sortedKeys(groups) {
		group := *groups[key]
		group.BarPercent = int(100 * group.Count / largest)
		counts = append(counts, group)
	}
	return counts
}

// WriteText writes the findings as plain text.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d records of %d trails, %s to %s\n\n", r.Records, r.Chains, r.From.Format(time.RFC3339), r.To.Format(time.RFC3339))
	for _, finding := range r.Findings {
		fmt.Fprintf(w, "%-9s  %s (%d records)\n", finding.Verdict, finding.Promise, finding.Checked)
		for _, breach := range finding.Broken {
			fmt.Fprintf(w, "           broken: %s record %d: %s\n", breach.Chain, breach.Sequence, breach.Text)
		}
		for _, missing := range finding.Missing {
			fmt.Fprintf(w, "           missing: %s\n", missing)
		}
	}
}

// Worst returns Broken if any promise is broken, else NotShown if any is not
// shown, else Held.
func (r Report) Worst() Verdict {
	worst := Held
	for _, finding := range r.Findings {
		switch {
		case finding.Verdict == Broken:
			return Broken
		case finding.Verdict == NotShown:
			worst = NotShown
		}
	}
	return worst
}

// WriteHTML writes the summary as one HTML page without external resources.
func (s Summary) WriteHTML(w io.Writer) error {
	if err := reportPage.Execute(w, s); err != nil {
		return fmt.Errorf("write HTML report: %w", err)
	}
	return nil
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>heatherwood audit report</title>
<style>
body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;width:100%}td,th{border-bottom:1px solid #ccc;padding:.3em .6em;text-align:left}
.held{color:#175c17}.broken{color:#a11212;font-weight:bold}.not{color:#8a5a00}
.bar{background:#4a6fa5;height:.8em}
</style>
<h1>Audit report</h1>
<p>{{.Records}} records of {{.Chains}} trails, {{.From}} to {{.To}}</p>
<h2>Promises</h2>
<table><tr><th>Promise<th>Verdict<th>Records<th>Details</tr>
{{range .Findings}}<tr><td>{{.Promise}}<td class="{{if eq .Verdict "held"}}held{{else if eq .Verdict "broken"}}broken{{else}}not{{end}}">{{.Verdict}}<td>{{.Checked}}
<td>{{range .Broken}}{{.Chain}} record {{.Sequence}}: {{.Text}}<br>{{end}}{{range .Missing}}missing: {{.}}<br>{{end}}</tr>
{{end}}</table>
<h2>Requests by service and rank</h2>
<table><tr><th>Service<th>Rank<th>Outcome<th>Count<th></tr>
{{range .RequestsByRank}}<tr><td>{{.Service}}<td>{{.Rank}}<td>{{.Outcome}}<td>{{.Count}}<td style="width:30%"><div class="bar" style="width:{{.BarPercent}}%"></div></tr>
{{end}}</table>
<h2>Requests by failure domain</h2>
<table><tr><th>Service<th>Domain<th>Outcome<th>Count<th></tr>
{{range .RequestsByDomain}}<tr><td>{{.Service}}<td>{{.To}}<td>{{.Outcome}}<td>{{.Count}}<td style="width:30%"><div class="bar" style="width:{{.BarPercent}}%"></div></tr>
{{end}}</table>
<h2>Shifts against their caps, the nearest to its limit</h2>
<table><tr><th>Service<th>Way<th>Steps<th>Share<th>Limit<th></tr>
{{range .Shifts}}<tr><td>{{.Service}}<td>{{.Kind}}<td>{{.Steps}}<td>{{printf "%.3f" .Share}}<td>{{printf "%.3f" .Limit}}<td style="width:30%"><div class="bar" style="width:{{.PercentOfLimit}}%"></div></tr>
{{end}}</table>
<h2>Changes</h2>
<table><tr><th>At<th>Team<th>Section<th>Version<th>Change<th>Outcome</tr>
{{range .Changes}}<tr><td>{{.Entry.At}}<td>{{.Entry.Team}}<td>{{.Entry.Section}}<td>{{.Entry.Version}}<td>{{.Entry.ChangeID}}<td>{{.Entry.Outcome}}</tr>
{{end}}</table>
<h2>Drains and planned stops</h2>
<table><tr><th>At<th>Service<th>What<th>Outcome<th>Seconds</tr>
{{range .Drains}}<tr><td>{{.Entry.At}}<td>{{.Entry.Service}}<td>{{.Entry.Server}}<td>{{.Entry.Outcome}}<td>{{.Entry.Amount}}</tr>
{{end}}</table>
`))
