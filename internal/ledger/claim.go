package ledger

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// ClaimPhase is the state of a claim on a `once` operation.
type ClaimPhase uint8

// The phases of a claim.
const (
	PhaseHeld     ClaimPhase = iota + 1 // the holder may send the operation, or has sent it
	PhaseReleased                       // the holder reported that nothing was run
	PhaseSettled                        // the outcome is known
	PhaseUnknown                        // the operation may have run; no outcome is recorded
)

// ClaimRecord is the stored claim of one key.
type ClaimRecord struct {
	Key     Key
	Digest  uint64 // of the request
	Holder  string // VM that holds the claim
	Attempt string // id of the request that holds the claim
	Phase   ClaimPhase
	Until   time.Time // a claim still held then becomes unknown
	Expires time.Time // the record may be dropped from then on
	Outcome Outcome
}

// ClaimCode is the kind of answer to a Claim.
type ClaimCode uint8

// The kinds of answer.
const (
	ClaimGranted        ClaimCode = iota + 1 // the attempt may send the operation, once
	ClaimRunning                             // another attempt may be running
	ClaimStored                              // the operation ended; the answer holds the outcome
	ClaimOutcomeUnknown                      // the operation may have run; its outcome is unknown
	ClaimMismatch                            // the key was used for another request
	ClaimTableFull                           // no room for another key
	ClaimStale                               // this attempt released the claim before
)

// ClaimResult is the answer to a Claim.
type ClaimResult struct {
	Code    ClaimCode
	Outcome Outcome   // with ClaimStored
	Until   time.Time // end of the hold, with ClaimGranted and ClaimRunning
}

// claimTable holds the claim records by key, with a heap by expiry time.
type claimTable struct {
	byKey    map[Key]*ClaimRecord
	expiries expiryHeap
	bytes    int // size of all records
}

func newClaimTable() claimTable { return claimTable{byKey: make(map[Key]*ClaimRecord)} }

const claimOverhead = 200 // bytes of a record without key and outcome

func (r *ClaimRecord) size() int {
	return claimOverhead + len(r.Key.Service) + len(r.Key.Key) + len(r.Outcome.Body)
}

func (t *claimTable) claim(now time.Time, claim *Claim) ClaimResult {
	record := t.byKey[claim.Key]
	if record == nil {
		return t.claimNewKey(now, claim)
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
		return t.reclaim(now, record, claim)
	default:
		return t.claimHeldKey(now, record, claim)
	}
}

func (t *claimTable) claimNewKey(now time.Time, claim *Claim) ClaimResult {
	record := &ClaimRecord{Key: claim.Key, Digest: claim.Digest, Expires: now.Add(claim.Keep)}
	if len(t.byKey) >= MaxClaims || t.bytes+record.size()+MaxOutcomeBytes > MaxClaimBytes {
		return ClaimResult{Code: ClaimTableFull}
	}
	t.byKey[claim.Key] = record
	t.bytes += record.size()
	heap.Push(&t.expiries, record)
	return t.grant(now, record, claim)
}

func (t *claimTable) grant(now time.Time, record *ClaimRecord, claim *Claim) ClaimResult {
	record.Phase = PhaseHeld
	record.Holder, record.Attempt = claim.Holder, claim.Attempt
	record.Until = now.Add(claim.Hold)
	return ClaimResult{Code: ClaimGranted, Until: record.Until}
}

// reclaim grants a released claim to a new attempt. A delayed duplicate of the
// attempt that released it is refused, because nobody would settle that claim.
func (t *claimTable) reclaim(now time.Time, record *ClaimRecord, claim *Claim) ClaimResult {
	if record.Attempt == claim.Attempt {
		return ClaimResult{Code: ClaimStale}
	}
	return t.grant(now, record, claim)
}

func (t *claimTable) claimHeldKey(now time.Time, record *ClaimRecord, claim *Claim) ClaimResult {
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

// expire drops the records whose expiry time has passed. It stops at a claim that
// is still held, until the end of the hold.
func (t *claimTable) expire(now time.Time) {
	for len(t.expiries) > 0 && !now.Before(t.expiries[0].Expires) {
		record := t.expiries[0]
		if record.Phase == PhaseHeld && now.Before(record.Until) {
			return
		}
		heap.Pop(&t.expiries)
		delete(t.byKey, record.Key)
		t.bytes -= record.size()
	}
}

// records returns all records sorted by key, so that equal states encode equally.
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

func (t *claimTable) restore(records []ClaimRecord) {
	for i := range records {
		record := records[i]
		t.byKey[record.Key] = &record
		t.bytes += record.size()
		t.expiries = append(t.expiries, &record)
	}
	heap.Init(&t.expiries)
}

// ClaimCount returns the number of stored claims.
func (s *State) ClaimCount() int { return len(s.claims.byKey) }

// expiryHeap is a heap of records by expiry time.
type expiryHeap []*ClaimRecord

func (q expiryHeap) Len() int           { return len(q) }
func (q expiryHeap) Less(i, j int) bool { return q[i].Expires.Before(q[j].Expires) }
func (q expiryHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds a record; container/heap calls it.
func (q *expiryHeap) Push(x any) { *q = append(*q, x.(*ClaimRecord)) }

// Pop removes the last record; container/heap calls it.
func (q *expiryHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
