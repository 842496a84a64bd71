package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// Customers holds the customers, whose requests carry a key, and how their
// allowances are counted.
type Customers struct {
	Window    PositiveDuration `toml:"window,omitempty"` // any span of this length counts
	Overage   Percent          `toml:"overage"`          // part by which an allowance may be exceeded
	Slack     float64          `toml:"slack"`            // requests by which it may be exceeded besides
	Customers []Customer       `toml:"customer"`

	byKey  map[KeyDigest]*Customer
	byName map[string]*Customer
}

// Customer is a sender of requests with keys of its own.
type Customer struct {
	Name    string      `toml:"name"`
	Keys    []KeyDigest `toml:"keys"`
	Rank    string      `toml:"rank,omitempty"` // of its requests, in place of that of the route; may be empty
	Regions []string    `toml:"regions"`        // regions allowed to run them, of those of the route; none means all
	Rate    float64     `toml:"rate"`           // requests a second over all VMs; 0 sets no limit
	Burst   float64     `toml:"burst"`          // requests beyond the rate
}

// KeyDigest is the SHA-256 digest of a key, written in hexadecimal digits. Keys
// themselves are in no section.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// UnmarshalText parses 64 hexadecimal digits. The error does not repeat the text, which
// may be a key.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("a key is written as the %d hexadecimal digits of its SHA-256 digest", hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("a key's digest has a character that is no hexadecimal digit")
	}
	return nil
}

// MarshalText writes hexadecimal digits.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the hexadecimal digits.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

const defaultWindow = PositiveDuration(5 * time.Second)

func (c *Customers) fillDefaults() {
	if c.Window == 0 {
		c.Window = defaultWindow
	}
	c.byKey, c.byName = make(map[KeyDigest]*Customer), make(map[string]*Customer, len(c.Customers))
	for i := range c.Customers {
		customer := &c.Customers[i]
		c.byName[customer.Name] = customer
		for _, key := range customer.Keys {
			c.byKey[key] = customer
		}
	}
}

// Enabled reports whether requests need a key: there is a customer.
func (c *Customers) Enabled() bool { return len(c.Customers) > 0 }

// ByKey returns the customer that holds a key, or nil.
func (c *Customers) ByKey(key KeyDigest) *Customer { return c.byKey[key] }

// ByName returns the customer of a name, or nil.
func (c *Customers) ByName(name string) *Customer { return c.byName[name] }

// AllowedIn reports whether requests of the customer may run in the region; a nil
// customer allows all.
func (c *Customer) AllowedIn(region string) bool {
	return c == nil || len(c.Regions) == 0 || slices.Contains(c.Regions, region)
}

// Limited reports whether the customer has an allowance.
func (c *Customer) Limited() bool { return c != nil && c.Rate > 0 }
