package audit

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Trails holds the records that were read from the audit files of all VMs.
type Trails struct {
	Records []Record // sorted by chain and sequence, without duplicates
	Faults  []Fault
}

// Fault is damage to the trails themselves: altered or missing records.
type Fault struct {
	Kind     FaultKind `json:"kind"`
	File     string    `json:"file,omitempty"`
	Line     int       `json:"line,omitempty"`
	Chain    string    `json:"chain,omitempty"`
	Sequence uint64    `json:"sequence,omitempty"`
	Text     string    `json:"text"`
}

// FaultKind tells whether a fault shows tampering or only that records are missing.
type FaultKind string

// The kinds of fault.
const (
	FaultAltered FaultKind = "altered" // content does not match its hash or its anchor
	FaultMissing FaultKind = "missing" // records are not in the files
)

// maxLineBytes bounds the length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Read loads all audit files below the folders and checks the chains and anchors.
// Damage is listed in Faults; an error means that a file could not be read.
func Read(folders []string) (*Trails, error) {
	t := &Trails{}
	for _, folder := range folders {
		names, err := fileNames(folder)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			if err := t.readFile(name); err != nil {
				return nil, err
			}
		}
	}
	t.sortRecords()
	t.checkChains()
	t.checkAnchors()
	return t, nil
}

func (t *Trails) readFile(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("read audit file: %w", err)
	}
	if end := bytes.LastIndexByte(data, '\n') + 1; end < len(data) {
		// A crash cut off the last line; synced data ends with a line feed.
		t.Faults = append(t.Faults, Fault{Kind: FaultMissing, File: name, Text: "the last line is cut short"})
		data = data[:end]
	}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for line := 1; scanner.Scan(); line++ {
		record, err := decodeLine(scanner.Bytes())
		if err != nil {
			t.Faults = append(t.Faults, Fault{Kind: FaultAltered, File: name, Line: line, Text: err.Error()})
			continue
		}
		t.Records = append(t.Records, record)
	}
	return scanner.Err()
}

// decodeLine decodes one record and checks its hash.
func decodeLine(line []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(line, &record); err != nil {
		return Record{}, fmt.Errorf("line is not an audit record: %w", err)
	}
	hashed, err := HashRecord(record)
	if err != nil {
		return Record{}, err
	}
	if hashed.Hash != record.Hash {
		return Record{}, fmt.Errorf("record %d of %s does not fit its hash", record.Sequence, record.Chain)
	}
	return record, nil
}

// sortRecords sorts the records by chain and sequence and drops copies that
// several VMs hold.
func (t *Trails) sortRecords() {
	slices.SortStableFunc(t.Records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Chain, b.Chain), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Hash, b.Hash))
	})
	t.Records = slices.CompactFunc(t.Records, func(a, b Record) bool {
		return a.Chain == b.Chain && a.Sequence == b.Sequence && a.Hash == b.Hash
	})
}

// checkChains finds gaps in each chain, sequence numbers with two records, and
// records whose Before is not the hash of the record before them.
func (t *Trails) checkChains() {
	for i := range t.Records {
		r := t.Records[i]
		first := i == 0 || t.Records[i-1].Chain != r.Chain
		switch {
		case first && r.Sequence > 0:
			t.addFault(FaultMissing, r, fmt.Sprintf("records 0 to %d are missing", r.Sequence-1))
		case first:
		case t.Records[i-1].Sequence == r.Sequence:
			t.addFault(FaultAltered, r, "two different records have this sequence")
		case t.Records[i-1].Sequence+1 != r.Sequence:
			t.addFault(FaultMissing, r, fmt.Sprintf("records %d to %d are missing", t.Records[i-1].Sequence+1, r.Sequence-1))
		case t.Records[i-1].Hash != r.Before:
			t.addFault(FaultAltered, r, "record does not follow the one before it")
		}
	}
}

func (t *Trails) addFault(kind FaultKind, r Record, text string) {
	t.Faults = append(t.Faults, Fault{Kind: kind, Chain: r.Chain, Sequence: r.Sequence, Text: text})
}

// find returns the record of the chain that has the sequence number.
func (t *Trails) find(chain string, sequence uint64) (Record, bool) {
	i, found := slices.BinarySearchFunc(t.Records, Record{Chain: chain, Sequence: sequence}, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Chain, b.Chain), cmp.Compare(a.Sequence, b.Sequence))
	})
	if !found {
		return Record{}, false
	}
	return t.Records[i], true
}

// checkAnchors compares the files with the chain heads that are anchored in the
// replicated log: a trail that was truncated or rewritten does not match them.
func (t *Trails) checkAnchors() {
	for _, r := range t.Records {
		if r.Entry.Kind != "anchor" {
			continue
		}
		anchored, found := t.find(r.Entry.From, r.Entry.Version)
		switch {
		case !found:
			t.Faults = append(t.Faults, Fault{Kind: FaultMissing, Chain: r.Entry.From, Sequence: r.Entry.Version, Text: "an anchored record is missing"})
		case anchored.Hash != r.Entry.Hash:
			t.Faults = append(t.Faults, Fault{Kind: FaultAltered, Chain: r.Entry.From, Sequence: r.Entry.Version, Text: "record differs from the one that was anchored"})
		}
	}
	slices.SortStableFunc(t.Faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Chain, b.Chain), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Text, b.Text))
	})
	t.Faults = slices.Compact(t.Faults)
}
