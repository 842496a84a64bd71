package document

import (
	"fmt"
	"math"
	"time"
)

// Bounds on the section of customers.
const (
	maxCustomers = 10_000
	minWindow    = 100 * time.Millisecond
	maxWindow    = 10 * time.Minute
)

func (c *checker) checkCustomers() {
	customers := &c.document.Customers
	if len(customers.Customers) > maxCustomers {
		c.add(SectionCustomers, "customer[0]", fmt.Sprintf("keep at most %d", maxCustomers), "%d customers are too many", len(customers.Customers))
		return
	}
	if window := customers.Window.Std(); window < minWindow || window > maxWindow {
		c.add(SectionCustomers, "window", "use 100ms to 10m", "window %v is out of range", window)
	}
	if !isCount(customers.Slack) {
		c.add(SectionCustomers, "slack", "use 0 or more requests", "slack %v is not valid", customers.Slack)
	}
	holders := make(map[KeyDigest]string)
	names := make(map[string]bool)
	for i := range customers.Customers {
		c.checkCustomer(&customers.Customers[i], fmt.Sprintf("customer[%d]", i), names, holders)
	}
}

// checkCustomer checks one customer and adds its name and keys to those of the customers
// before it.
func (c *checker) checkCustomer(customer *Customer, path string, names map[string]bool, holders map[KeyDigest]string) {
	if customer.Name == "" || len(customer.Name) > MaxNameBytes || !isHeaderValue(customer.Name) {
		c.add(SectionCustomers, path+".name", "use 1 to 64 visible ASCII characters", "customer name %q is not valid", customer.Name)
	}
	if names[customer.Name] {
		c.add(SectionCustomers, path+".name", "give each customer a name of its own", "customer %q is declared twice", customer.Name)
	}
	names[customer.Name] = true
	for j, key := range customer.Keys {
		if holder, found := holders[key]; found {
			c.add(SectionCustomers, fmt.Sprintf("%s.keys[%d]", path, j), "give each customer keys of its own, each once", "customers %q and %q share a key", holder, customer.Name)
		}
		holders[key] = customer.Name
	}
	if customer.Rank != "" {
		c.checkReference(SectionCustomers, "rank", path+".rank", customer.Rank, c.ranks)
	}
	for j, region := range customer.Regions {
		c.checkReference(SectionCustomers, "region", fmt.Sprintf("%s.regions[%d]", path, j), region, c.regions)
	}
	if !isCount(customer.Rate) {
		c.add(SectionCustomers, path+".rate", "use 0 or more requests a second; 0 sets no limit", "rate %v of customer %q is not valid", customer.Rate, customer.Name)
	}
	if !isCount(customer.Burst) {
		c.add(SectionCustomers, path+".burst", "use 0 or more requests", "burst %v of customer %q is not valid", customer.Burst, customer.Name)
	}
}

// isHeaderValue reports whether the text can be sent as the value of a header unchanged.
func isHeaderValue(text string) bool {
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

func isCount(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }
