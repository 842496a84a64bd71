package plan

import (
	"net/netip"
	"time"
)

// RecentTables keeps the tables that callers may still follow: a look-up is kept for
// its time to live, so a request can come by a table that is that old.
type RecentTables struct {
	TTL time.Duration

	tables []datedTable // oldest first
}

type datedTable struct {
	table *Table
	until time.Time // callers may follow it until then; zero for the present one
}

const maxRecent = 8 // tables, so that a check stays cheap

// Add makes a table the present one.
func (r *RecentTables) Add(table *Table, now time.Time) {
	kept := r.tables[:0]
	for _, old := range r.tables {
		if old.until.IsZero() {
			old.until = now.Add(r.TTL)
		}
		if now.Before(old.until) {
			kept = append(kept, old)
		}
	}
	r.tables = append(kept, datedTable{table: table})
	if len(r.tables) > maxRecent {
		// The middle ones go: weights move one way for longer than Keep.
		r.tables = append(r.tables[:1], r.tables[2:]...)
	}
}

// Tables returns the tables that callers may follow, the present one last.
func (r *RecentTables) Tables() []*Table {
	tables := make([]*Table, 0, len(r.tables))
	for _, dated := range r.tables {
		tables = append(tables, dated.table)
	}
	return tables
}

// IsHome reports whether one of the tables leads the client to the domain first.
// Clients outside all places are at home everywhere.
func IsHome(tables []*Table, service string, client netip.Addr, domain string) bool {
	for i := len(tables) - 1; i >= 0; i-- {
		t := tables[i]
		number := t.ServiceIndex(service)
		if number < 0 {
			continue
		}
		if place, _ := t.Blocks.Find(client); place == NoPlace {
			return true
		}
		choice := t.Lookup(number, client)
		if choice.Count == 0 || t.Domains[choice.Domains[0]] == domain {
			return true
		}
	}
	return len(tables) == 0
}
