package customer

import (
	"math"
	"slices"
	"time"
)

// Timings of an allocator's questions to others.
const (
	askAheadFor    = 300 * time.Millisecond // an allocator borrows before its tokens end: a question across regions takes 40 ms, more on busy VMs
	holdFor        = 90 * time.Millisecond  // for which a question waits for loans: two of them across regions, and less than askAgainAfter
	loanAnswerTime = 100 * time.Millisecond // after which a lender counts as silent
	silentFor      = time.Second            // for which a silent lender is not asked again
	probeAfter     = 250 * time.Millisecond // after which a lender that had nothing may have some again, as its demand falls; twice as long after each time
	maxProbeWaits  = 2                      // times probeAfter, at most
	askSpacing     = 50 * time.Millisecond  // between questions to one lender: what it gains until then is one token or few
	maxLoansAsked  = 3                      // lenders asked at a time for one customer
)

// Fleet is what an allocator knows of the failure domains.
type Fleet struct {
	Domain  string
	Domains []string // of the document, this one included
	Heard   []string // the others that are heard, nearest first
	Share   float64  // of the domain's VMs that are heard; 1 unless the domain may be divided
}

// Allocator hands out the allowances of the customers that one VM allocates in its domain.
type Allocator struct {
	Peer    string // host:port of this VM for calls between VMs
	fleet   Fleet
	since   time.Time // from which on buckets of customers that were not asked for have filled
	buckets map[string]*bucket
	ordered []*bucket // all of them, in the order in which they began
	holding []*bucket // with questions that wait for loans
	changed []*bucket // with questions since the last call of Wanted
	lastID  uint64
	loans   LoanCounts
}

// LoanCounts counts tokens that moved between domains.
type LoanCounts struct{ Borrowed, Lent int }

// bucket is the share of one customer.
type bucket struct {
	limit      Limit
	division   Division
	holds      bool
	tokens     float64
	refilledAt time.Time
	borrowed   []lot
	demand     meter
	granted    meter
	turn       time.Time // of the last request that got nothing
	held       []question
	lenders    []lender
	usedAt     time.Time
	changed    bool
	answered   recent // questions of entries
	lent       recent // questions of other domains
}

// recent holds the last questions, of which a repeated one is not answered again: its
// tokens would be lost. A repetition follows its message closely.
type recent struct {
	ids  [4]questionID
	next int
}

type questionID struct {
	peer string
	id   uint64
}

// repeats reports whether a question is one of the last ones, and notes it.
func (r *recent) repeats(peer string, id uint64) bool {
	q := questionID{peer, id}
	if slices.Contains(r.ids[:], q) {
		return true
	}
	r.ids[r.next%len(r.ids)] = q
	r.next++
	return false
}

// question is a request that waits for loans.
type question struct {
	Request
	since time.Time
}

// lender is another domain that holds a share, as far as its answers tell.
type lender struct {
	domain     string
	left, gain float64
	answeredAt time.Time // zero if it never answered
	askedAt    time.Time
	id         uint64 // of the open question; 0 for none
	asked      int
	silentTo   time.Time
	refusals   int // questions since it lent something
}

// Answer is a grant for an entry.
type Answer struct {
	Peer  string
	Grant Grant
}

// NewAllocator returns an allocator whose buckets are empty at a time. first must be
// higher than the ids of earlier starts of the VM.
func NewAllocator(peer string, first uint64, since time.Time) *Allocator {
	return &Allocator{Peer: peer, lastID: first, since: since, buckets: make(map[string]*bucket)}
}

// SetFleet applies what is known of the failure domains.
func (a *Allocator) SetFleet(f Fleet, now time.Time) {
	a.SetShare(f.Share, now)
	renamed := !slices.Equal(a.fleet.Domains, f.Domains)
	if renamed && len(a.fleet.Domains) > 0 {
		a.Restart(now) // this domain may hold a share that others held until now
	}
	a.fleet = f
	if !renamed {
		return
	}
	for _, b := range a.ordered {
		a.divide(b)
	}
}

// SetShare applies the share of the domain's VMs that are heard, from now on.
func (a *Allocator) SetShare(share float64, now time.Time) {
	if share == a.fleet.Share {
		return
	}
	for _, b := range a.ordered {
		a.refill(b, now)
	}
	a.fleet.Share = share
}

// Restart empties the buckets of the customers for which none has asked yet: the VM that
// allocated them may have changed.
func (a *Allocator) Restart(now time.Time) { a.since = now }

// Reset discards all buckets, after this VM was paused: another VM may have been the
// allocator meanwhile.
func (a *Allocator) Reset(now time.Time) {
	clear(a.buckets)
	a.ordered, a.holding, a.changed, a.since = nil, nil, nil, now
}

// Retain discards the buckets of customers that this VM does not allocate, and those of
// which none has asked for long and that would be as full if they began anew.
func (a *Allocator) Retain(allocates func(customer string) bool, now time.Time) {
	ended := func(b *bucket) bool {
		filled := now.Sub(a.since) > b.division.refillTime()
		idle := filled && now.Sub(b.usedAt) > max(forgetAfter, b.division.refillTime())
		return idle || !allocates(b.limit.Customer)
	}
	a.ordered = slices.DeleteFunc(a.ordered, func(b *bucket) bool {
		if !ended(b) {
			return false
		}
		b.held = nil
		delete(a.buckets, b.limit.Customer)
		return true
	})
}

// bucketOf returns the bucket of a customer by the terms in force, refilled.
func (a *Allocator) bucketOf(l Limit, now time.Time) *bucket {
	b := a.buckets[l.Customer]
	if b == nil {
		b = &bucket{limit: l, refilledAt: a.since}
		a.divide(b)
		a.buckets[l.Customer] = b
		a.ordered = append(a.ordered, b)
	}
	a.refill(b, now)
	if l.Document >= b.limit.Document && (l.Terms != b.limit.Terms || l.Entries != b.limit.Entries) {
		b.limit = l
		a.divide(b)
	}
	a.refill(b, now)
	return b
}

// divide applies the division of the customer's allowance to its bucket.
func (a *Allocator) divide(b *bucket) {
	b.division = Divide(b.limit.Terms, b.limit.Entries)
	chosen := holders(b.limit.Customer, a.fleet.Domains, b.division.Holders)
	b.holds = slices.Contains(chosen, a.fleet.Domain)
	known := b.lenders
	b.lenders = nil
	for _, domain := range chosen {
		if domain == a.fleet.Domain {
			continue
		}
		next := lender{domain: domain}
		for _, l := range known {
			if l.domain == domain {
				next = l
			}
		}
		b.lenders = append(b.lenders, next)
	}
}

func (a *Allocator) shareOf(b *bucket) (rate, capacity float64) {
	if !b.holds {
		return 0, 0
	}
	rate, capacity = b.division.share()
	return rate * a.fleet.Share, capacity * a.fleet.Share
}

func (a *Allocator) refill(b *bucket, now time.Time) {
	rate, capacity := a.shareOf(b)
	if now.After(b.refilledAt) {
		b.tokens += rate * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, capacity)
	b.borrowed = dropEnded(b.borrowed, now)
}

func (b *bucket) available() int { return int(b.tokens) + countOf(b.borrowed) }

// take takes tokens, borrowed ones first, as they end.
func (b *bucket) take(n int, now time.Time) {
	b.tokens -= float64(n - takeFrom(b.borrowed, n))
	if n > 0 {
		b.granted.add(n, now)
	}
}

// Allow answers a question. It returns false for a repeated one, and if the answer has to
// wait for loans; Answers returns it then.
func (a *Allocator) Allow(r Request, l Limit, now time.Time) (Grant, bool) {
	r.Waiting, r.Ahead, r.Arrived = inBounds(r.Waiting), inBounds(r.Ahead), inBounds(r.Arrived)
	b := a.bucketOf(l, now)
	if b.answered.repeats(r.Peer, r.ID) {
		return Grant{}, false
	}
	b.usedAt = now
	b.demand.add(r.Arrived, now)
	a.markChanged(b)
	q := question{Request: r, since: now}
	for i := range b.held {
		if b.held[i].Peer == r.Peer {
			q.since = b.held[i].since // asked again: the caller has waited since then
			b.held = slices.Delete(b.held, i, i+1)
			break
		}
	}
	if len(b.held) == 0 && (b.available() >= r.Waiting || !a.mayBorrow(b, now)) {
		return a.grant(b, r, now), true
	}
	b.held = append(b.held, q)
	if !slices.Contains(a.holding, b) {
		a.holding = append(a.holding, b)
	}
	return Grant{}, false
}

func (a *Allocator) markChanged(b *bucket) {
	if !b.changed {
		b.changed = true
		a.changed = append(a.changed, b)
	}
}

// grant gives out what there is. What is asked ahead gets half of the rest at most, so
// that other entries find some.
func (a *Allocator) grant(b *bucket, r Request, now time.Time) Grant {
	available := b.available()
	g := Grant{ID: r.ID, Customer: r.Customer, Count: min(r.Waiting, available), Demand: b.demand.rate(now)}
	if short := r.Waiting - g.Count; short > 0 {
		g.Wait, g.Spacing = a.nextTurns(b, short, now)
	} else {
		g.Count += max(0, min(r.Ahead, (available-g.Count)/2))
	}
	b.take(g.Count, now)
	return g
}

// nextTurns returns when there is room for the next requests that get nothing, each after
// the one before, at the rate at which the domain got tokens lately or its share.
func (a *Allocator) nextTurns(b *bucket, n int, now time.Time) (wait, spacing time.Duration) {
	rate, _ := a.shareOf(b)
	rate = max(rate, b.granted.rate(now))
	if rate <= 0 {
		return maxWait, 0
	}
	spacing = seconds(1 / rate)
	first := b.turn
	if earliest := now.Add(seconds(max(0, 1-b.tokens) / rate)); first.Before(earliest) {
		first = earliest
	}
	b.turn = first.Add(time.Duration(min(float64(n)*float64(spacing), float64(maxWait))))
	if latest := now.Add(maxWait); b.turn.After(latest) {
		b.turn = latest
	}
	return min(max(first.Sub(now), time.Millisecond), maxWait), min(spacing, maxWait)
}

// Answers returns the answers to questions that waited for loans: those for which there
// are tokens now, or none will come.
func (a *Allocator) Answers(now time.Time) []Answer {
	var answers []Answer
	a.holding = slices.DeleteFunc(a.holding, func(b *bucket) bool {
		answers = a.answerHeld(b, answers, now)
		return len(b.held) == 0
	})
	return answers
}

func (a *Allocator) answerHeld(b *bucket, answers []Answer, now time.Time) []Answer {
	a.refill(b, now)
	for len(b.held) > 0 {
		q := b.held[0]
		if b.available() < q.Waiting && now.Sub(q.since) < holdFor && a.mayBorrow(b, now) {
			break
		}
		b.held = slices.Delete(b.held, 0, 1)
		answers = append(answers, Answer{Peer: q.Peer, Grant: a.grant(b, q.Request, now)})
		a.markChanged(b)
	}
	return answers
}

// mayBorrow reports whether tokens may come from another domain: one was asked, or is
// expected to have some.
func (a *Allocator) mayBorrow(b *bucket, now time.Time) bool {
	for i := range b.lenders {
		l := &b.lenders[i]
		if l.open(now) || a.expected(b, l, now) >= 1 {
			return true
		}
	}
	return false
}

func (l *lender) open(now time.Time) bool { return l.id != 0 && now.Sub(l.askedAt) < loanAnswerTime }

// expected returns how many tokens a lender is expected to lend now; 0 if it is not to be
// asked.
func (a *Allocator) expected(b *bucket, l *lender, now time.Time) float64 {
	switch {
	case now.Before(l.silentTo), l.open(now), !slices.Contains(a.fleet.Heard, l.domain):
		return 0
	case !l.askedAt.IsZero() && now.Sub(l.askedAt) < askSpacing:
		return 0
	}
	_, capacity := b.division.share()
	if l.answeredAt.IsZero() {
		return max(1, capacity)
	}
	age := now.Sub(l.answeredAt)
	left := min(l.left+l.gain*age.Seconds(), capacity)
	if age >= probeAfter*time.Duration(min(1<<l.refusals, maxProbeWaits)) {
		left = max(left, 1)
	}
	return left
}

// Wanted returns the questions to other domains that are due, of the customers that were
// asked for since the last call; with all, of every customer, as time has passed.
func (a *Allocator) Wanted(all bool, now time.Time) []LoanRequest {
	var requests []LoanRequest
	due := a.changed
	if all {
		due = a.ordered
	}
	for _, b := range due {
		requests = a.wantedOf(b, requests, now)
	}
	for _, b := range a.changed {
		b.changed = false
	}
	a.changed = a.changed[:0]
	return requests
}

func (a *Allocator) wantedOf(b *bucket, requests []LoanRequest, now time.Time) []LoanRequest {
	if len(b.lenders) == 0 {
		return requests
	}
	a.refill(b, now)
	rate, _ := a.shareOf(b)
	ahead := min(askAheadFor, b.division.LoanTTL)
	need := surely(b.demand.rate(now) * ahead.Seconds())
	need -= int(rate * ahead.Seconds())
	waiting := 0
	for i := range b.held {
		waiting += b.held[i].Waiting
	}
	need = max(0, need, waiting) - b.available()
	open := 0
	for i := range b.lenders {
		l := &b.lenders[i]
		if l.id != 0 && !l.open(now) && l.silentTo.Before(l.askedAt) {
			l.silentTo = now.Add(silentFor)
		}
		if l.open(now) {
			open++
			need -= l.asked
		}
	}
	for need > 0 && open < maxLoansAsked {
		best, tokens := a.bestLender(b, now)
		if best == nil {
			break
		}
		n := need
		if !best.answeredAt.IsZero() {
			n = min(need, int(tokens))
		}
		a.lastID++
		best.id, best.askedAt, best.asked = a.lastID, now, n
		requests = append(requests, LoanRequest{
			ID:       best.id,
			Peer:     a.Peer,
			Domain:   best.domain,
			Customer: b.limit.Customer,
			Document: b.limit.Document,
			Rate:     b.limit.Terms.Rate,
			Burst:    b.limit.Terms.Burst,
			Count:    n,
		})
		need -= min(n, max(1, int(tokens)))
		open++
	}
	return requests
}

// bestLender returns the lender that is expected to have most tokens, of equal ones the
// nearest.
func (a *Allocator) bestLender(b *bucket, now time.Time) (best *lender, tokens float64) {
	bestPlace := 0
	for i := range b.lenders {
		l := &b.lenders[i]
		n := a.expected(b, l, now)
		place := slices.Index(a.fleet.Heard, l.domain)
		if n >= 1 && (best == nil || n > tokens || n == tokens && place < bestPlace) {
			best, tokens, bestPlace = l, n, place
		}
	}
	return best, tokens
}

// Lend answers the question of another domain's allocator, or returns false for a repeated
// one. It keeps what its own entries
// are expected to use within the time in which the bucket fills.
func (a *Allocator) Lend(r LoanRequest, l Limit, now time.Time) (LoanGrant, bool) {
	b := a.bucketOf(l, now)
	if b.lent.repeats(r.Peer, r.ID) {
		return LoanGrant{}, false
	}
	b.usedAt = now
	rate, _ := a.shareOf(b)
	demand := b.demand.rate(now)
	// Whole requests: a fraction would hold back the only token of a small customer.
	spare := b.tokens - math.Round(demand*min(b.division.refillTime(), maxTTL).Seconds())
	n := 0
	if len(b.held) == 0 {
		n = max(0, min(r.Count, int(spare)))
	}
	b.tokens -= float64(n)
	a.loans.Lent += n
	return LoanGrant{
		ID:       r.ID,
		Domain:   a.fleet.Domain,
		Customer: r.Customer,
		Count:    n,
		Left:     spare - float64(n),
		Gain:     rate - demand,
	}, true
}

// TakeLoan takes the answer of a lender, once and only to the last question.
func (a *Allocator) TakeLoan(g LoanGrant, now time.Time) {
	b := a.buckets[g.Customer]
	if b == nil {
		return
	}
	for i := range b.lenders {
		l := &b.lenders[i]
		if l.domain != g.Domain || l.id == 0 || l.id != g.ID {
			continue
		}
		l.id, l.silentTo = 0, time.Time{}
		l.left, l.gain, l.answeredAt = finite(g.Left), finite(g.Gain), now
		if until := l.askedAt.Add(b.division.LoanTTL); g.Count > 0 && now.Before(until) {
			count := min(g.Count, l.asked)
			b.borrowed = append(dropEnded(b.borrowed, now), lot{count, until})
			a.loans.Borrowed += count
		}
		l.refusals = min(l.refusals+1, maxProbeWaits)
		if g.Count > 0 {
			l.refusals = 0
		}
		a.markChanged(b)
	}
}

// Loans returns and clears the counts of tokens that moved since the last call.
func (a *Allocator) Loans() LoanCounts {
	counts := a.loans
	a.loans = LoanCounts{}
	return counts
}

// Bucket is the state of a customer's bucket, for the status.
type Bucket struct {
	Tokens   float64
	Borrowed int
	Demand   float64 // requests a second in the failure domain
}

// Bucket returns the state of a customer's bucket, if this VM holds one.
func (a *Allocator) Bucket(customer string, now time.Time) (Bucket, bool) {
	b := a.buckets[customer]
	if b == nil {
		return Bucket{}, false
	}
	a.refill(b, now)
	return Bucket{Tokens: b.tokens, Borrowed: countOf(b.borrowed), Demand: b.demand.rate(now)}, true
}
