package quarantine

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A request that crashes every server must not take down more than two.
func TestSecondDeathQuarantines(t *testing.T) {
	var table Table
	const crasher = 7
	deaths := 0
	for ticket := uint64(1); ticket <= 20; ticket++ {
		switch table.Check(crasher, start) {
		case Barred, Wait:
			continue
		}
		table.BeginTrial(crasher, ticket)
		table.RecordDeath(crasher, ticket, start)
		deaths++
	}
	if deaths != 2 {
		t.Errorf("%d servers died, want 2", deaths)
	}
}

// A popular page runs on many servers when a whole failure domain fails; their
// deaths must not quarantine it.
func TestDeathsBeforeTrialOnlySuspect(t *testing.T) {
	var table Table
	const page = 9
	for ticket := uint64(1); ticket <= 10; ticket++ {
		table.RecordDeath(page, ticket, start)
	}
	if verdict := table.Check(page, start); verdict != Trial {
		t.Fatalf("verdict %d, want Trial", verdict)
	}
	table.BeginTrial(page, 11)
	if verdict := table.Check(page, start); verdict != Wait {
		t.Errorf("verdict %d during the trial, want Wait", verdict)
	}
	table.RecordSurvival(page)
	if verdict := table.Check(page, start); verdict != Allowed {
		t.Errorf("verdict %d after a completed run, want Allowed", verdict)
	}
}

func TestLiftAndExpiry(t *testing.T) {
	tests := map[string]func(*Table) time.Time{
		"lifted":  func(table *Table) time.Time { table.Lift(1); return start },
		"expired": func(*Table) time.Time { return start.Add(quarantineTTL) },
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			table := Table{Entries: []Entry{{Fingerprint: 1, Phase: Quarantined, Until: start.Add(quarantineTTL)}}}
			if verdict := table.Check(1, act(&table)); verdict != Allowed {
				t.Errorf("verdict %d, want Allowed", verdict)
			}
		})
	}
}

// Many different suspected requests must not grow the table without limit.
func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range uint64(MaxEntries + 10) {
		table.RecordDeath(i, 1, start)
	}
	if len(table.Entries) != MaxEntries {
		t.Errorf("%d entries, want %d", len(table.Entries), MaxEntries)
	}
}

// Servers that die for another reason must not make a request suspected that
// completed before.
func TestHarmlessRequestIsNotSuspected(t *testing.T) {
	var table Table
	const page = 5
	table.RecordSurvival(page)
	table.RecordDeath(page, 1, start)
	table.RecordDeath(page, 2, start)
	if verdict := table.Check(page, start); verdict != Allowed {
		t.Errorf("verdict %d, want Allowed", verdict)
	}
}
