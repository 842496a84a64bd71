package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Record is one line of a trail. Its hash covers the hash before it, so that a
// record that is changed, added or left out shows.
type Record struct {
	Chain    string        `json:"chain"` // VM and start, see ChainName
	Sequence uint64        `json:"sequence"`
	Before   string        `json:"before"` // hash of the record before
	Hash     string        `json:"hash"`
	Entry    reducer.Audit `json:"entry"`
}

// ChainName names the trail of one start of a VM.
func ChainName(vm string, incarnation uint64) string {
	return fmt.Sprintf("%s.%d", vm, incarnation)
}

// Seal computes the hash of a record from its other fields.
func Seal(r Record) (Record, error) {
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

// Chain links records of one trail.
type Chain struct {
	Name     string
	Sequence uint64 // of the next record
	Hash     string // of the last record
}

// Append seals the next record.
func (c *Chain) Append(entry reducer.Audit) (Record, error) {
	sealed, err := Seal(Record{Chain: c.Name, Sequence: c.Sequence, Before: c.Hash, Entry: entry})
	if err != nil {
		return Record{}, err
	}
	c.Sequence++
	c.Hash = sealed.Hash
	return sealed, nil
}
