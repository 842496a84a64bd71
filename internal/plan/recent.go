package plan

import (
	"net/netip"
	"time"
)

// RecentTables keeps the tables that callers may still follow. Callers cache the
// answer to a look-up for TTL, so a request can follow a table that was replaced
// up to TTL ago.
type RecentTables struct {
	TTL time.Duration

	tables []datedTable // oldest first
}

type datedTable struct {
	table      *Table
	validUntil time.Time // callers may follow it until then; zero for the current one
}

const maxTables = 8 // IsHome goes through all tables and must stay cheap

// Add makes a table the current one and drops those older than TTL.
func (r *RecentTables) Add(table *Table, now time.Time) {
	kept := r.tables[:0]
	for _, old := range r.tables {
		if old.validUntil.IsZero() {
			old.validUntil = now.Add(r.TTL)
		}
		if now.Before(old.validUntil) {
			kept = append(kept, old)
		}
	}
	r.tables = append(kept, datedTable{table: table})
	if len(r.tables) > maxTables {
		// Drop the second oldest: weights move in one direction for longer than
		// TTL, so the dropped table lies between the tables that remain.
		r.tables = append(r.tables[:1], r.tables[2:]...)
	}
}

// Tables returns the tables that callers may follow, the current one last.
func (r *RecentTables) Tables() []*Table {
	tables := make([]*Table, 0, len(r.tables))
	for _, dated := range r.tables {
		tables = append(tables, dated.table)
	}
	return tables
}

// IsHome reports whether the domain is the first choice for the client in one of
// the tables. Every domain is home to clients outside all places, and also while
// there are no tables or a table has no domain for the client.
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
