package audit

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Summary adds what ran to a verification, for people.
type Summary struct {
	Report
	Changes []Record  `json:"changes"`
	Drains  []Record  `json:"drains"`
	Served  []Served  `json:"served"`
	Regions []Served  `json:"regions"`
	Shifts  []Shifted `json:"shifts"`
	Made    time.Time `json:"made"`
}

// Shifted is the step of a service that came nearest to its limit.
type Shifted struct {
	Service string  `json:"service"`
	Way     string  `json:"way"` // weights, arrival or spill
	Steps   int     `json:"steps"`
	Share   float64 `json:"share"`
	Limit   float64 `json:"limit"`
}

// Percent returns the share as a part of its limit.
func (s Shifted) Percent() int {
	if s.Limit == 0 {
		return 0
	}
	return int(100 * s.Share / s.Limit)
}

// Served counts requests of one group.
type Served struct {
	Service string `json:"service"`
	Rank    string `json:"rank,omitempty"`
	Outcome string `json:"outcome"`
	To      string `json:"to,omitempty"`
	Count   int64  `json:"count"`
	Share   int    `json:"-"` // percent of the largest group
}

// Summarise verifies the trails and sums up what they hold.
func Summarise(t *Trails) Summary {
	s := Summary{Report: Verify(t)}
	s.Made = s.Report.To
	byRank := make(map[string]*Served)
	byDomain := make(map[string]*Served)
	shifts := make(map[string]*Shifted)
	for _, r := range t.Records {
		switch {
		case r.Entry.Kind == reducer.AuditPlan:
			addShift(shifts, r.Entry)
		case r.Entry.Kind == reducer.AuditChange && r.Entry.Section != "":
			s.Changes = append(s.Changes, r)
		case r.Entry.Kind == reducer.AuditDrain:
			s.Drains = append(s.Drains, r)
		case r.Entry.Kind == reducer.AuditTally && r.Entry.Outcome != "sent" && r.Entry.Outcome != "dropped":
			addServed(byRank, Served{Service: r.Entry.Service, Rank: r.Entry.Rank, Outcome: r.Entry.Outcome, Count: r.Entry.Count})
			if r.Entry.To != "" {
				addServed(byDomain, Served{Service: r.Entry.Service, To: r.Entry.To, Outcome: r.Entry.Outcome, Count: r.Entry.Count})
			}
		}
	}
	s.Served, s.Regions = listServed(byRank), listServed(byDomain)
	for _, key := range sortedKeys(shifts) {
		s.Shifts = append(s.Shifts, *shifts[key])
	}
	return s
}

// addShift keeps the step that used most of its limit.
func addShift(groups map[string]*Shifted, entry reducer.Audit) {
	key := entry.Service + "\x00" + entry.Outcome
	step := Shifted{Service: entry.Service, Way: entry.Outcome, Share: entry.Amount, Limit: entry.Limit}
	group := groups[key]
	if group == nil {
		group = &Shifted{}
		groups[key] = group
	}
	step.Steps = group.Steps + 1
	if group.Steps > 0 && group.Percent() >= step.Percent() {
		step.Share, step.Limit = group.Share, group.Limit
	}
	*group = step
}

func addServed(groups map[string]*Served, add Served) {
	key := add.Service + "\x00" + add.Rank + "\x00" + add.To + "\x00" + add.Outcome
	if groups[key] == nil {
		groups[key] = &Served{Service: add.Service, Rank: add.Rank, To: add.To, Outcome: add.Outcome}
	}
	groups[key].Count += add.Count
}

func listServed(groups map[string]*Served) []Served {
	largest := int64(1)
	for _, group := range groups {
		largest = max(largest, group.Count)
	}
	list := make([]Served, 0, len(groups))
	for _, key := range sortedKeys(groups) {
		group := *groups[key]
		group.Share = int(100 * group.Count / largest)
		list = append(list, group)
	}
	return list
}

// WriteText prints the findings for a terminal.
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

// WriteHTML prints the summary as one page without outside resources.
func (s Summary) WriteHTML(w io.Writer) error {
	if err := page.Execute(w, s); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
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
{{range .Served}}<tr><td>{{.Service}}<td>{{.Rank}}<td>{{.Outcome}}<td>{{.Count}}<td style="width:30%"><div class="bar" style="width:{{.Share}}%"></div></tr>
{{end}}</table>
<h2>Requests by failure domain</h2>
<table><tr><th>Service<th>Domain<th>Outcome<th>Count<th></tr>
{{range .Regions}}<tr><td>{{.Service}}<td>{{.To}}<td>{{.Outcome}}<td>{{.Count}}<td style="width:30%"><div class="bar" style="width:{{.Share}}%"></div></tr>
{{end}}</table>
<h2>Shifts against their caps, the nearest to its limit</h2>
<table><tr><th>Service<th>Way<th>Steps<th>Share<th>Limit<th></tr>
{{range .Shifts}}<tr><td>{{.Service}}<td>{{.Way}}<td>{{.Steps}}<td>{{printf "%.3f" .Share}}<td>{{printf "%.3f" .Limit}}<td style="width:30%"><div class="bar" style="width:{{.Percent}}%"></div></tr>
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
