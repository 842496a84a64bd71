package audit

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// checkPropagation compares the records of accepted changes with those of
// documents that came into force.
func checkPropagation(c *check) {
	accepted := make(map[uint64]time.Time)
	inForce := make(map[string][]Record) // by chain
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditChange {
			continue
		}
		if r.Entry.Outcome == "accepted" {
			c.Checked++
			if at, found := accepted[r.Entry.Position]; !found || r.Entry.At.Before(at) {
				accepted[r.Entry.Position] = r.Entry.At
			}
		}
		if r.Entry.Outcome == "in-force" {
			inForce[r.Chain] = append(inForce[r.Chain], r)
		}
	}
	for _, chain := range sortedKeys(inForce) {
		c.checkChainPropagation(inForce[chain], accepted)
	}
}

// checkChainPropagation checks the documents that came into force during one
// run of a VM: each must be newer than the one before, and a change that was
// accepted after the first of them must be in force within maxPropagationDelay.
func (c *check) checkChainPropagation(records []Record, accepted map[uint64]time.Time) {
	firstAt := records[0].Entry.At
	for i, r := range records {
		if i > 0 && r.Entry.Position <= records[i-1].Entry.Position {
			c.addBreach(r, "document at log index %d came into force after %d", r.Entry.Position, records[i-1].Entry.Position)
		}
		at, found := accepted[r.Entry.Position]
		if delay := r.Entry.At.Sub(at); found && at.After(firstAt) && delay > maxPropagationDelay {
			c.addBreach(r, "change at log index %d came into force %s after it was accepted", r.Entry.Position, delay.Round(time.Millisecond))
		}
	}
}

// checkAllowedRegions compares the failure domains that served each service with the
// regions that the document in force allowed.
func checkAllowedRegions(c *check) {
	type serviceRules struct {
		logIndex uint64
		service  string
	}
	allowed := make(map[serviceRules]string)
	regions := domainRegions(c.trails)
	for _, r := range c.trails.Records {
		if r.Entry.Kind == reducer.AuditChange && r.Entry.Outcome == "rule" {
			allowed[serviceRules{r.Entry.Position, r.Entry.Service}] = r.Entry.To
		}
	}
	for _, r := range c.trails.Records {
		if r.Entry.Kind != reducer.AuditTally || r.Entry.To == "" || r.Entry.Service == "" {
			continue
		}
		c.Checked++
		allowedRegions, found := allowed[serviceRules{r.Entry.Position, r.Entry.Service}]
		region := regions[r.Entry.To]
		if !found || region == "" {
			c.addMissing("rules of %s at log index %d", r.Entry.Service, r.Entry.Position)
			continue
		}
		if allowedRegions != "" && !slices.Contains(strings.Split(allowedRegions, ","), region) {
			c.addBreach(r, "%d requests of %s ran in region %s, allowed are %s", r.Entry.Count, r.Entry.Service, region, allowedRegions)
		}
	}
}

// domainRegions returns the region of each failure domain, as recorded with the
// documents in force.
func domainRegions(t *Trails) map[string]string {
	regions := make(map[string]string)
	for _, r := range t.Records {
		if r.Entry.Kind == reducer.AuditChange && r.Entry.Outcome == "domain" {
			regions[r.Entry.From] = r.Entry.To
		}
	}
	return regions
}
