package allowance

import (
	"math"
	"time"

	"github.com/heatherwood/heatherwood/internal/routing"
)

// Timings and limits of allowances.
const (
	TTL         = 1500 * time.Millisecond // of an allowance, from when the request for it was sent
	maxWait     = 4 * time.Second         // until a VM that got nothing asks again
	forgetAfter = 30 * time.Second        // without a request for allowances
)

// Start identifies one start of a server.
type Start struct {
	Server string
	Time   int64 // milliseconds since 1970; 0 if unknown
}

// Request asks the allocator for allowances.
type Request struct {
	ID    uint64 // rises with each request for the start of the server
	Peer  string // host:port of the sender for calls between VMs
	Start Start
	Limit routing.Limit // as the sender knows it

	LimitVersion uint64 // of Limit, as in a roster record
	Count        int    // requests that the sender would send within TTL
}

// Grant answers a Request.
type Grant struct {
	ID    uint64 // of the Request
	Start Start
	Count int           // allowances; they end TTL after the Request was sent
	Wait  time.Duration // before the next Request, if there are none now
}

// Allocator hands out the allowances of the servers that one VM allocates.
type Allocator struct {
	buckets map[Start]*bucket
}

// bucket is the token bucket of one server.
type bucket struct {
	routing.TokenBucket
	askedAt   time.Time // last request
	turn      time.Time // at which the last VM that got nothing was told to return
	refused   int       // requests that got nothing since countedAt
	countedAt time.Time
}

// Allow answers a request. The share is the part of the limit that this VM may hand out,
// less than 1 while another VM may take itself for the allocator.
func (a *Allocator) Allow(r Request, limit routing.Limit, share float64, now time.Time) Grant {
	rate := limit.Rate() * share
	b := a.bucketOf(r.Start, now)
	b.Refill(rate, now)
	b.askedAt = now
	if now.Sub(b.countedAt) >= TTL {
		b.refused, b.countedAt = 0, now
	}
	grant := Grant{ID: r.ID, Start: r.Start, Count: min(r.Count, b.forOne())}
	if grant.Count <= 0 {
		b.refused++
		grant.Count, grant.Wait = 0, b.nextTurn(rate, now)
		return grant
	}
	b.Tokens -= float64(grant.Count)
	return grant
}

// bucketOf returns the bucket of a server. A new one fills only after TTL: until then
// the allowances of a previous allocator may be in use.
func (a *Allocator) bucketOf(start Start, now time.Time) *bucket {
	if a.buckets == nil {
		a.buckets = make(map[Start]*bucket)
	}
	b := a.buckets[start]
	if b == nil {
		b = &bucket{TokenBucket: routing.TokenBucket{RefilledAt: now.Add(TTL)}}
		a.buckets[start] = b
	}
	return b
}

// forOne returns how many allowances one VM may get now: what there is, divided by the
// VMs that ask for some.
func (b *bucket) forOne() int {
	available := int(b.Tokens)
	if available <= 1 {
		return available
	}
	return max(1, available/(1+b.refused))
}

// nextTurn returns how long a VM that got nothing should wait. Each is given a turn of
// its own, one allowance after the other.
func (b *bucket) nextTurn(rate float64, now time.Time) time.Duration {
	earliest := now.Add(seconds(max(0, 1-b.Tokens) / rate))
	if b.RefilledAt.After(now) {
		earliest = earliest.Add(b.RefilledAt.Sub(now))
	}
	next := b.turn.Add(seconds(1 / rate))
	if next.Before(earliest) || next.Sub(now) > maxWait {
		next = earliest
	}
	b.turn = next
	return min(next.Sub(now), maxWait)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}

// Retain forgets the servers that this VM does not allocate, and those of which none has
// asked for long.
func (a *Allocator) Retain(allocates func(server string) bool, now time.Time) {
	for start, b := range a.buckets {
		if now.Sub(b.askedAt) > forgetAfter || !allocates(start.Server) {
			delete(a.buckets, start)
		}
	}
}

// Reset forgets all servers, after this VM was stalled: another VM may have been the
// allocator meanwhile.
func (a *Allocator) Reset() { clear(a.buckets) }

// Most returns the most requests that begin within a window at a server with the limit,
// whatever becomes of the messages between VMs, while one VM at a time is the allocator.
func Most(limit routing.Limit, window time.Duration) int {
	return int(routing.Burst(limit.Rate()) + limit.Rate()*(TTL+window).Seconds())
}
