package ledger

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// ClaimPhase is how far a `once` operation has come.
type ClaimPhase uint8

// The phases of a claim.
const (
	PhaseHeld     ClaimPhase = iota + 1 // the holder may send, or has sent
	PhaseReleased                       // the holder stated that nothing was run
	PhaseSettled                        // the outcome is known
	PhaseUnknown                        // it may have run; nobody will know
)

// ClaimRecord is what is kept of one key.
type ClaimRecord struct {
	Key     Key
	Digest  uint64
	Holder  string
	Attempt string
	Phase   ClaimPhase
	Until   time.Time // a held claim becomes unknown from then on
	Expires time.Time // the key is forgotten from then on
	Outcome Outcome
}

// ClaimCode is the answer to a claim.
type ClaimCode uint8

// The answers.
const (
	ClaimGranted        ClaimCode = iota + 1 // send it now, once
	ClaimRunning                             // another attempt may be running
	ClaimStored                              // the outcome is in the answer
	ClaimOutcomeUnknown                      // the outcome is unknown for good
	ClaimMismatch                            // the key was used for another request
	ClaimTableFull                           // no room for another key
	ClaimStale                               // this attempt gave the claim back before
)

// ClaimResult is the answer to a Claim.
type ClaimResult struct {
	Code    ClaimCode
	Outcome Outcome
	Until   time.Time
}

// claimTable holds the records by key with a queue of their expiry.
type claimTable struct {
	byKey  map[Key]*ClaimRecord
	expiry expiryQueue
	bytes  int
}

func newClaimTable() claimTable { return claimTable{byKey: make(map[Key]*ClaimRecord)} }

const claimOverhead = 200 // bytes of a record besides key and outcome

func (r *ClaimRecord) size() int {
	return claimOverhead + len(r.Key.Service) + len(r.Key.Key) + len(r.Outcome.Body)
}

func (t *claimTable) claim(now time.Time, claim *Claim) ClaimResult {
	record := t.byKey[claim.Key]
	if record == nil {
		return t.first(now, claim)
	}
	if record.Digest != claim.Digest {
		return ClaimResult{Code: ClaimMismatch}
	}
	switch record.Phase {
	case PhaseSettled:
		return ClaimResult{Code: ClaimStored, Outcome: record.Outcome}
	case PhaseUnknown:
		return ClaimResult{Code: ClaimOutcomeUnknown}
	case PhaseReleased:
		return t.again(now, record, claim)
	default:
		return t.held(now, record, claim)
	}
}

func (t *claimTable) first(now time.Time, claim *Claim) ClaimResult {
	record := &ClaimRecord{Key: claim.Key, Digest: claim.Digest, Expires: now.Add(claim.Keep)}
	if len(t.byKey) >= MaxClaims || t.bytes+record.size()+MaxOutcomeBytes > MaxClaimBytes {
		return ClaimResult{Code: ClaimTableFull}
	}
	t.byKey[claim.Key] = record
	t.bytes += record.size()
	heap.Push(&t.expiry, record)
	return t.grant(now, record, claim)
}

func (t *claimTable) grant(now time.Time, record *ClaimRecord, claim *Claim) ClaimResult {
	record.Phase = PhaseHeld
	record.Holder, record.Attempt = claim.Holder, claim.Attempt
	record.Until = now.Add(claim.Hold)
	return ClaimResult{Code: ClaimGranted, Until: record.Until}
}

// again grants a released claim to a new attempt. A late copy of the attempt
// that gave it back must not take it again, for nobody would settle it.
func (t *claimTable) again(now time.Time, record *ClaimRecord, claim *Claim) ClaimResult {
	if record.Attempt == claim.Attempt {
		return ClaimResult{Code: ClaimStale}
	}
	return t.grant(now, record, claim)
}

func (t *claimTable) held(now time.Time, record *ClaimRecord, claim *Claim) ClaimResult {
	if !now.Before(record.Until) {
		record.Phase = PhaseUnknown
		return ClaimResult{Code: ClaimOutcomeUnknown}
	}
	if record.Attempt == claim.Attempt {
		return ClaimResult{Code: ClaimGranted, Until: record.Until}
	}
	return ClaimResult{Code: ClaimRunning, Until: record.Until}
}

func (t *claimTable) release(now time.Time, release *Release) {
	record := t.byKey[release.Key]
	if record == nil || record.Attempt != release.Attempt || record.Phase != PhaseHeld {
		return
	}
	if !now.Before(record.Until) {
		record.Phase = PhaseUnknown
		return
	}
	record.Phase = PhaseReleased
}

func (t *claimTable) settle(now time.Time, settle *Settle) {
	record := t.byKey[settle.Key]
	if record == nil || record.Attempt != settle.Attempt {
		return
	}
	if record.Phase != PhaseHeld && record.Phase != PhaseUnknown {
		return
	}
	if settle.Outcome.Unknown {
		record.Phase = PhaseUnknown
		return
	}
	t.bytes -= record.size()
	record.Phase = PhaseSettled
	record.Outcome = settle.Outcome
	if len(record.Outcome.Body) > MaxOutcomeBytes {
		record.Outcome.Body, record.Outcome.Truncated = nil, true
	}
	t.bytes += record.size()
}

// sweep forgets keys whose stated time has passed. A held claim is never
// forgotten before its holder must have stopped.
func (t *claimTable) sweep(now time.Time) {
	for len(t.expiry) > 0 && !now.Before(t.expiry[0].Expires) {
		record := t.expiry[0]
		if record.Phase == PhaseHeld && now.Before(record.Until) {
			return
		}
		heap.Pop(&t.expiry)
		delete(t.byKey, record.Key)
		t.bytes -= record.size()
	}
}

// records returns all records in a fixed order, so that equal states encode
// equally.
func (t *claimTable) records() []ClaimRecord {
	records := make([]ClaimRecord, 0, len(t.byKey))
	for _, record := range t.byKey {
		records = append(records, *record)
	}
	slices.SortFunc(records, func(a, b ClaimRecord) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	return records
}

func (t *claimTable) load(records []ClaimRecord) {
	for i := range records {
		record := records[i]
		t.byKey[record.Key] = &record
		t.bytes += record.size()
		t.expiry = append(t.expiry, &record)
	}
	heap.Init(&t.expiry)
}

// ClaimCount returns the number of keys remembered.
func (s *State) ClaimCount() int { return len(s.claims.byKey) }

// expiryQueue orders records by the time at which they are forgotten.
type expiryQueue []*ClaimRecord

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].Expires.Before(q[j].Expires) }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds a record; container/heap calls it.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(*ClaimRecord)) }

// Pop removes the last record; container/heap calls it.
func (q *expiryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
