package audit

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

func checkForce(c *check) {
	accepted := make(map[uint64]time.Time)
	inForce := make(map[string][]Record) // by chain
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditChange {
			continue
		}
		if r.Entry.Outcome == "accepted" {
			c.Checked++
			if at, known := accepted[r.Entry.Position]; !known || r.Entry.At.Before(at) {
				accepted[r.Entry.Position] = r.Entry.At
			}
		}
		if r.Entry.Outcome == "in-force" {
			inForce[r.Chain] = append(inForce[r.Chain], r)
		}
	}
	for _, chain := range sortedKeys(inForce) {
		c.checkInForce(inForce[chain], accepted)
	}
}

// checkInForce follows one start of a VM: its documents only get newer, and a
// change that was accepted after it began is in force within the bound.
func (c *check) checkInForce(records []Record, accepted map[uint64]time.Time) {
	began := records[0].Entry.At
	for i, r := range records {
		if i > 0 && r.Entry.Position <= records[i-1].Entry.Position {
			c.breach(r, "document at log index %d came into force after %d", r.Entry.Position, records[i-1].Entry.Position)
		}
		at, known := accepted[r.Entry.Position]
		if late := r.Entry.At.Sub(at); known && at.After(began) && late > forceBound {
			c.breach(r, "change at log index %d came into force %s after it was accepted", r.Entry.Position, late.Round(time.Millisecond))
		}
	}
}

// checkRules compares the failure domains that served each service with the
// regions that the document in force allowed.
func checkRules(c *check) {
	type version struct {
		index uint64
		name  string
	}
	allowed := make(map[version]string)
	regions := regionsOf(c.trails)
	for _, r := range c.trails.Records {
		if r.Entry.Kind == reducer.AuditChange && r.Entry.Outcome == "rule" {
			allowed[version{r.Entry.Position, r.Entry.Service}] = r.Entry.To
		}
	}
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditTally || r.Entry.To == "" || r.Entry.Service == "" {
			continue
		}
		c.Checked++
		list, known := allowed[version{r.Entry.Position, r.Entry.Service}]
		region := regions[r.Entry.To]
		if !known || region == "" {
			c.missing("rules of %s at log index %d", r.Entry.Service, r.Entry.Position)
			continue
		}
		if list != "" && !slices.Contains(strings.Split(list, ","), region) {
			c.breach(r, "%d requests of %s ran in region %s, allowed are %s", r.Entry.Count, r.Entry.Service, region, list)
		}
	}
}

// regionsOf returns the region of each failure domain.
func regionsOf(t *Trails) map[string]string {
	regions := make(map[string]string)
	for _, r := range t.Records {
		if r.Entry.Kind == reducer.AuditChange && r.Entry.Outcome == "domain" {
			regions[r.Entry.From] = r.Entry.To
		}
	}
	return regions
}
