package customer

import (
	"cmp"
	"slices"
	"strings"
)

// listed is how many of the largest customers, and of those refused most, are named; the
// others are counted together.
const listed = 20

// Rest is the name of the customers that are counted together: no customer has an empty
// name.
const Rest = ""

// Count counts the requests of one customer at one entry since its start.
type Count struct {
	Asked   int64 `json:"asked"` // for an allowance, or sent by a customer without a limit
	Allowed int64 `json:"allowed"`
	Refused int64 `json:"refused"` // over the allowance, or with the allowance unknown
	NoRoom  int64 `json:"noRoom"`  // refused for want of room at the servers
	Served  int64 `json:"served"`
	Late    int64 `json:"late"` // of those served, after their target time
}

func (c *Count) add(other Count) {
	c.Asked += other.Asked
	c.Allowed += other.Allowed
	c.Refused += other.Refused
	c.NoRoom += other.NoRoom
	c.Served += other.Served
	c.Late += other.Late
}

// refusedShare returns the share of the requests that got no answer of a server.
func (c *Count) refusedShare() float64 {
	return float64(c.Refused+c.NoRoom) / float64(max(1, c.Asked))
}

// Counts counts the requests of all customers at one entry.
type Counts struct {
	byName map[string]*Count
	gone   Count // of customers that left the document
}

// Of returns the count of a customer, to be changed.
func (c *Counts) Of(customer string) *Count {
	count := c.byName[customer]
	if count == nil {
		if c.byName == nil {
			c.byName = make(map[string]*Count)
		}
		count = &Count{}
		c.byName[customer] = count
	}
	return count
}

// Retain counts the customers that left the document with the rest.
func (c *Counts) Retain(known func(customer string) bool) {
	for name, count := range c.byName {
		if !known(name) {
			c.gone.add(*count)
			delete(c.byName, name)
		}
	}
}

// Named is the count of a customer, or of the Rest.
type Named struct {
	Customer string
	Count
}

// Report returns the counts of the largest customers, then of those of the others that
// are refused most, and of the rest as one.
func (c *Counts) Report() []Named {
	all := make([]Named, 0, len(c.byName))
	for name, count := range c.byName {
		all = append(all, Named{name, *count})
	}
	slices.SortFunc(all, func(a, b Named) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), strings.Compare(a.Customer, b.Customer))
	})
	report := slices.Clone(all[:min(listed, len(all))])
	others := all[len(report):]
	slices.SortStableFunc(others, func(a, b Named) int { return cmp.Compare(b.refusedShare(), a.refusedShare()) })
	worst := others[:min(listed, len(others))]
	report = append(report, worst...)
	rest := Named{Rest, c.gone}
	for _, other := range others[len(worst):] {
		rest.add(other.Count)
	}
	if rest.Count != (Count{}) {
		report = append(report, rest)
	}
	return report
}
