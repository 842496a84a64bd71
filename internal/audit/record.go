package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Record is one line of an audit file. Its hash covers the hash of the previous
// record, so that changed, added and removed records are detected.
type Record struct {
	Chain    string        `json:"chain"` // one run of a VM, see ChainName
	Sequence uint64        `json:"sequence"`
	Before   string        `json:"before"` // hash of the previous record, empty for the first
	Hash     string        `json:"hash"`
	Entry    reducer.Audit `json:"entry"`
}

// ChainName returns the name of the chain that a VM writes during one run of
// its process, which the incarnation identifies.
func ChainName(vm string, incarnation uint64) string {
	return fmt.Sprintf("%s.%d", vm, incarnation)
}

// HashRecord returns the record with its hash computed from the other fields.
func HashRecord(r Record) (Record, error) {
	entry, err := json.Marshal(r.Entry)
	if err != nil {
		return Record{}, fmt.Errorf("encode audit record: %w", err)
	}
	digest := sha256.New()
	fmt.Fprintf(digest, "%s\n%d\n%s\n", r.Chain, r.Sequence, r.Before)
	digest.Write(entry)
	r.Hash = hex.EncodeToString(digest.Sum(nil))
	return r, nil
}

// Chain links the records of one trail by their hashes.
type Chain struct {
	Name         string
	NextSequence uint64 // sequence number of the next record
	LastHash     string // hash of the last record
}

// Append returns the next record of the chain, with its hash.
func (c *Chain) Append(entry reducer.Audit) (Record, error) {
	record, err := HashRecord(Record{Chain: c.Name, Sequence: c.NextSequence, Before: c.LastHash, Entry: entry})
	if err != nil {
		return Record{}, err
	}
	c.NextSequence++
	c.LastHash = record.Hash
	return record, nil
}
