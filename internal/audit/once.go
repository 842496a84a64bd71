package audit

import (
	"strings"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// attempt is the way of one `once` request through the records.
type attempt struct {
	key      string
	granted  bool
	sending  []Record
	ended    []Record
	released *Record
	settled  bool
}

func attempts(t *Trails) map[string]*attempt {
	all := make(map[string]*attempt)
	for i := range t.Records {
		r := t.Records[i]
		if r.Entry.Kind != reducer.AuditClaim || r.Entry.Request == "" {
			continue
		}
		a := all[r.Entry.Request]
		if a == nil {
			a = &attempt{key: r.Entry.Service + "\x00" + r.Entry.Key}
			all[r.Entry.Request] = a
		}
		switch outcome := r.Entry.Outcome; {
		case outcome == "granted":
			a.granted = true
		case outcome == "sending":
			a.sending = append(a.sending, r)
		case outcome == "released":
			a.released = &r
		case outcome == "settled" || outcome == "unknown":
			a.settled = true
		case strings.HasPrefix(outcome, "ended:"):
			a.ended = append(a.ended, r)
		}
	}
	return all
}

// unrun reports whether the i-th send is proved not to have run.
func (a *attempt) unrun(i int) bool {
	if i >= len(a.ended) {
		return false
	}
	switch strings.TrimPrefix(a.ended[i].Entry.Outcome, "ended:") {
	case "shed", "no-dial", "dial-late", "unused":
		return true
	default:
		return false
	}
}

func checkNotRun(c *check) {
	all := attempts(c.trails)
	for _, id := range sortedKeys(all) {
		a := all[id]
		if a.released == nil {
			continue
		}
		c.Checked++
		for i := range a.sending {
			if !a.unrun(i) {
				c.breach(*a.released, "request %s was called not run but was sent to %s", id, a.sending[i].Entry.Server)
			}
		}
	}
	c.checkedByTally()
}

func checkOnce(c *check) {
	runs := make(map[string][]Record)
	all := attempts(c.trails)
	for _, id := range sortedKeys(all) {
		a := all[id]
		for i, r := range a.sending {
			c.Checked++
			if !a.granted {
				c.breach(r, "request %s was sent without a claim on its key", id)
			}
			if !a.unrun(i) {
				runs[a.key] = append(runs[a.key], r)
			}
		}
	}
	for _, key := range sortedKeys(runs) {
		if sent := runs[key]; len(sent) > 1 {
			service, name, _ := strings.Cut(key, "\x00")
			c.breach(sent[1], "key %q of %s may have run %d times", name, service, len(sent))
		}
	}
}
