package reach

import (
	"cmp"
	"slices"
	"time"
)

// Failure is how the connection to a server failed.
type Failure string

// The failures.
const (
	Refused Failure = "refused" // a new connection was refused or reset
	Late    Failure = "late"    // a new connection did not come in time
	Broken  Failure = "broken"  // an open connection broke before the answer
)

// Way is how a VM reaches the servers of a failure domain.
type Way uint8

// The ways.
const (
	Open  Way = iota // connections are opened as usual
	Doubt            // connections to several servers failed, or answers are missing: servers are probed
	Kept             // new connections fail; open ones are used while they answer
	Lost             // no connection answers
)

// String returns the name of the way in logs.
func (w Way) String() string {
	return [...]string{"open", "doubt", "kept", "lost"}[min(w, Lost)]
}

// IsCut reports whether no new connection can be opened.
func (w Way) IsCut() bool { return w >= Kept }

// Times and counts of the evidence.
const (
	evidenceAge   = 1500 * time.Millisecond // age up to which a failed connection counts
	minFailing    = 2                       // servers that fail before the way to them, and not the servers, is in doubt
	minCut        = 3                       // servers that cannot be connected to, or all of a smaller domain, before the way counts as cut
	doubtLength   = 2 * time.Second         // after which a doubt ends that nothing confirms
	firstRepeat   = 500 * time.Millisecond  // from a doubt that proved unfounded to the next one
	maxRepeat     = 8 * time.Second         // the same after several in a row
	maxProbes     = 3                       // of one domain, when a doubt begins
	probeInterval = 400 * time.Millisecond  // between probes of a domain that is cut
	staleAfter    = 10 * time.Second        // time for which a cut lasts without a server that could be probed
	connectedLate = 300 * time.Millisecond  // age from which a new connection says nothing of another domain's cut
)

// Silence of servers, measured over all answers to this VM.
const (
	minFlights    = 3                      // requests without an answer before silence says anything
	minSilence    = 250 * time.Millisecond // without any answer
	silentGaps    = 4                      // times the mean time between two answers: answers at random times leave such a gap once in 50
	overdueFactor = 1.5                    // times the expected time after which an answer is overdue
	minOverdue    = 400 * time.Millisecond
	gapWeight     = 0.1 // of a new gap in the moving average
	recentServers = 8   // remembered for probes, where the caller of Tick names none
)

// contact is a server to which connections fail.
type contact struct {
	address  string
	failedAt time.Time // last failed connection
	failure  Failure
}

// domain is what is known of the servers of one failure domain.
type domain struct {
	name        string
	way         Way
	since       time.Time // of way
	contacts    []contact // servers with a recent failure and no new connection after it, by address
	connectedAt time.Time // last new connection to any of the servers
	answeredAt  time.Time // last answer of any of them, on any connection
	recent      []string  // addresses of servers used last, newest first
	probeDue    time.Time
	probeTurn   int
	probing     int           // probes without a result
	repeat      time.Duration // from a doubt to the next one
	doubtDue    time.Time
}

// Flight is a request that was sent to a server and is not answered.
type Flight struct {
	Domain   string
	Address  string // host:port
	SentAt   time.Time
	Expected time.Duration // usual time to the answer
	Partial  bool          // its caller still sends the body, so that a missing answer says nothing
}

// Probe asks for a connection to a server that no request waits for.
type Probe struct {
	Domain  string
	Address string // host:port
}

// Change is a change of the way to a failure domain.
type Change struct {
	Domain  string
	From    Way
	To      Way
	Servers int           // to which connections failed lately
	Why     Failure       // of the last failed connection; empty if none counts
	Silent  time.Duration // since the last answer of any server of the domain; -1 if there was none
	Lasted  time.Duration // how long the way was From
}

// Tracker holds what one VM knows of its ways to backend servers. The zero value is ready
// to use.
type Tracker struct {
	domains   []*domain // by name
	flights   map[uint64]Flight
	reachedAt time.Time     // last answer or new connection
	meanGap   time.Duration // between two answers
	changes   []Change
}

func (t *Tracker) find(name string) *domain {
	at, found := slices.BinarySearchFunc(t.domains, name, func(d *domain, name string) int { return cmp.Compare(d.name, name) })
	if !found {
		t.domains = slices.Insert(t.domains, at, &domain{name: name, repeat: firstRepeat})
	}
	return t.domains[at]
}

// Way returns the way to a failure domain.
func (t *Tracker) Way(name string) Way {
	at, found := slices.BinarySearchFunc(t.domains, name, func(d *domain, name string) int { return cmp.Compare(d.name, name) })
	if !found {
		return Open
	}
	return t.domains[at].way
}

// Cut returns the names of the failure domains to which no new connection can be opened.
func (t *Tracker) Cut() []string {
	var names []string
	for _, d := range t.domains {
		if d.way.IsCut() {
			names = append(names, d.name)
		}
	}
	return names
}

// Ways returns the way to each failure domain that was used, as a change from itself; Lasted is
// -1 where it never changed.
func (t *Tracker) Ways(now time.Time) []Change {
	ways := make([]Change, 0, len(t.domains))
	for _, d := range t.domains {
		c := d.change(d.way, now)
		if d.since.IsZero() {
			c.Lasted = -1
		}
		ways = append(ways, c)
	}
	return ways
}

// AllLost reports whether no server that this VM used can be reached on any connection.
func (t *Tracker) AllLost() bool {
	return len(t.domains) > 0 && !slices.ContainsFunc(t.domains, func(d *domain) bool { return d.way != Lost })
}

// InDoubt reports whether the way to any failure domain is not open, or may turn out so:
// connections failed a moment ago, or answers are missing.
func (t *Tracker) InDoubt(now time.Time) bool {
	return t.silent(now) || slices.ContainsFunc(t.domains, func(d *domain) bool {
		return d.way != Open || slices.ContainsFunc(d.contacts, func(c contact) bool { return now.Sub(c.failedAt) <= evidenceAge })
	})
}

// Helpless reports whether this VM should serve nothing for others: nothing that it sent is
// answered, or the ways to half of the failure domains or more are not open.
func (t *Tracker) Helpless(now time.Time) bool {
	closed := 0
	for _, d := range t.domains {
		if d.way != Open {
			closed++
		}
	}
	return closed > 0 && 2*closed >= len(t.domains) || t.silent(now)
}

// MostlyCut reports whether the ways to half of the failure domains or more are cut, not only in doubt.
func (t *Tracker) MostlyCut() bool {
	cut := len(t.Cut())
	return cut > 0 && 2*cut >= len(t.domains)
}

// Begin notes a request that is sent; call identifies it until End.
func (t *Tracker) Begin(call uint64, f Flight) {
	if t.flights == nil {
		t.flights = make(map[uint64]Flight)
	}
	t.flights[call] = f
	d := t.find(f.Domain)
	if at := slices.Index(d.recent, f.Address); at >= 0 {
		d.recent = slices.Delete(d.recent, at, at+1)
	}
	d.recent = slices.Insert(d.recent, 0, f.Address)
	d.recent = d.recent[:min(len(d.recent), recentServers)]
}

// End forgets a request that is answered or given up.
func (t *Tracker) End(call uint64) { delete(t.flights, call) }

// FlightsTo returns the calls of the requests under way to a failure domain, in order.
func (t *Tracker) FlightsTo(name string) []uint64 {
	var calls []uint64
	for call, f := range t.flights {
		if f.Domain == name {
			calls = append(calls, call)
		}
	}
	slices.Sort(calls)
	return calls
}

// Connected notes a new connection to a server.
func (t *Tracker) Connected(name, address string, now time.Time) {
	d := t.find(name)
	d.connectedAt, t.reachedAt = now, now
	d.contacts = slices.DeleteFunc(d.contacts, func(c contact) bool { return c.address == address })
	switch {
	case d.way == Open:
		return
	case d.way == Doubt:
		t.endDoubt(d, now)
	default:
		d.repeat = firstRepeat
		t.setWay(d, Open, now)
	}
}

// endDoubt ends a doubt that proved unfounded; the next one waits longer each time.
func (t *Tracker) endDoubt(d *domain, now time.Time) {
	d.doubtDue = now.Add(d.repeat)
	d.repeat = min(2*d.repeat, maxRepeat)
	t.setWay(d, Open, now)
}

// Probed notes the result of a probe; failure is empty if it connected.
func (t *Tracker) Probed(p Probe, failure Failure, now time.Time) {
	d := t.find(p.Domain)
	d.probing = max(0, d.probing-1)
	if failure == "" {
		t.Connected(p.Domain, p.Address, now)
		return
	}
	t.Failed(p.Domain, p.Address, failure, now)
}

// Answered notes an answer of a server of the failure domain.
func (t *Tracker) Answered(name string, now time.Time) {
	if !t.reachedAt.IsZero() {
		t.meanGap += time.Duration(gapWeight * float64(now.Sub(t.reachedAt)-t.meanGap))
	}
	t.find(name).answeredAt, t.reachedAt = now, now
}

// Failed notes a connection to a server that failed.
func (t *Tracker) Failed(name, address string, failure Failure, now time.Time) {
	d := t.find(name)
	at, found := slices.BinarySearchFunc(d.contacts, address, func(c contact, address string) int { return cmp.Compare(c.address, address) })
	if !found {
		d.contacts = slices.Insert(d.contacts, at, contact{address: address})
	}
	d.contacts[at].failedAt, d.contacts[at].failure = now, failure
}

func (t *Tracker) setWay(d *domain, way Way, now time.Time) {
	if d.way == way {
		return
	}
	t.changes = append(t.changes, d.change(way, now))
	if way == Open {
		d.contacts = nil
	}
	d.way, d.since = way, now
}

// Restart forgets the silence so far: this VM stood still itself.
func (t *Tracker) Restart(now time.Time) {
	t.reachedAt = now
	for call, f := range t.flights {
		f.SentAt = now
		t.flights[call] = f
	}
}

// Tick returns the probes that are due and the changes since the last call. servers returns
// the addresses of the servers of a failure domain, or nil if the VM does not know them.
func (t *Tracker) Tick(now time.Time, servers func(domain string) []string) ([]Probe, []Change) {
	var probes []Probe
	failing := 0
	for _, d := range t.domains {
		if !d.way.IsCut() {
			d.contacts = slices.DeleteFunc(d.contacts, func(c contact) bool { return now.Sub(c.failedAt) > evidenceAge })
			failing += len(d.contacts)
		}
	}
	silent := t.silent(now)
	for _, d := range t.domains {
		switch d.way {
		case Open:
			if now.Sub(d.since) > 2*maxRepeat {
				d.repeat = firstRepeat
			}
			if now.Before(d.doubtDue) {
				continue
			}
			if len(d.contacts) > 0 && failing >= minFailing || silent && t.hasFlight(d) || t.overdue(d, now) {
				probes = append(probes, t.doubt(d, servers, now)...)
			}
		case Doubt:
			t.conclude(d, servers, now)
		default:
			probes = append(probes, t.watch(d, servers, now)...)
		}
	}
	if slices.ContainsFunc(t.changes, func(c Change) bool { return c.To.IsCut() }) {
		probes = append(probes, t.doubtOthers(servers, now)...)
	}
	changes := t.changes
	t.changes = nil
	return probes, changes
}

// silent reports whether answers to several requests are missing for longer than the time
// between answers explains.
func (t *Tracker) silent(now time.Time) bool {
	if now.Sub(t.reachedAt) <= max(minSilence, silentGaps*t.meanGap) {
		return false
	}
	whole := 0
	for _, f := range t.flights {
		if !f.Partial {
			whole++
		}
	}
	return whole >= minFlights
}

func (t *Tracker) hasFlight(d *domain) bool {
	for _, f := range t.flights {
		if f.Domain == d.name && !f.Partial {
			return true
		}
	}
	return false
}

// overdue reports whether the answer to a request is overdue while no server of its failure
// domain answers any other.
func (t *Tracker) overdue(d *domain, now time.Time) bool {
	heard := d.answeredAt
	if d.connectedAt.After(heard) {
		heard = d.connectedAt
	}
	if now.Sub(heard) < minOverdue {
		return false
	}
	for _, f := range t.flights {
		if f.Domain == d.name && !f.Partial && now.Sub(f.SentAt) > max(minOverdue, time.Duration(overdueFactor*float64(f.Expected))) {
			return true
		}
	}
	return false
}

// targets returns the servers of the domain that may be probed, and whether they are up to
// date.
func (d *domain) targets(servers func(string) []string) (addresses []string, current bool) {
	if known := servers(d.name); len(known) > 0 {
		return known, true
	}
	return d.recent, false
}

// doubt begins to probe a domain: servers whose connections did not fail yet first.
func (t *Tracker) doubt(d *domain, servers func(string) []string, now time.Time) []Probe {
	targets, _ := d.targets(servers)
	var fresh, failed []Probe
	for i := range targets {
		p := Probe{Domain: d.name, Address: targets[(d.probeTurn+i)%len(targets)]}
		if slices.ContainsFunc(d.contacts, func(c contact) bool { return c.address == p.Address }) {
			failed = append(failed, p)
		} else {
			fresh = append(fresh, p)
		}
	}
	probes := append(fresh, failed...)
	probes = probes[:min(len(probes), maxProbes)]
	d.probeTurn += len(probes)
	d.probing += len(probes)
	t.setWay(d, Doubt, now)
	return probes
}

// conclude ends a doubt once all probes failed, or when nothing confirms it.
func (t *Tracker) conclude(d *domain, servers func(string) []string, now time.Time) {
	targets, _ := d.targets(servers)
	if d.probing == 0 && len(d.contacts) > 0 && len(d.contacts) >= min(minCut, len(targets)) {
		way := Lost
		answers := !d.answeredAt.IsZero() && now.Sub(d.answeredAt) < minSilence
		if answers || slices.ContainsFunc(d.contacts, func(c contact) bool { return c.failure != Late }) {
			way = Kept
		}
		d.probeDue = now.Add(probeInterval)
		t.setWay(d, way, now)
		return
	}
	if now.Sub(d.since) > doubtLength {
		d.probing = 0
		t.endDoubt(d, now)
	}
}

// watch probes a domain that is cut, and notes when its open connections answer no more.
func (t *Tracker) watch(d *domain, servers func(string) []string, now time.Time) []Probe {
	if d.way == Kept && t.overdue(d, now) {
		t.setWay(d, Lost, now)
	}
	targets, current := d.targets(servers)
	if len(targets) == 0 || !current && now.Sub(d.since) > staleAfter {
		// The servers may have other addresses by now: the next requests show it.
		t.setWay(d, Open, now)
		return nil
	}
	if now.Before(d.probeDue) {
		return nil
	}
	d.probeDue = now.Add(probeInterval)
	d.probeTurn++
	d.probing++
	return []Probe{{Domain: d.name, Address: targets[d.probeTurn%len(targets)]}}
}

// doubtOthers begins to probe the domains that are still open when another is cut, unless a
// connection to them was opened just now: the cut is often one of all servers.
func (t *Tracker) doubtOthers(servers func(string) []string, now time.Time) []Probe {
	var probes []Probe
	for _, d := range t.domains {
		if d.way == Open && now.Sub(d.connectedAt) > connectedLate {
			probes = append(probes, t.doubt(d, servers, now)...)
		}
	}
	return probes
}

func (d *domain) change(to Way, now time.Time) Change {
	c := Change{Domain: d.name, From: d.way, To: to, Servers: len(d.contacts), Silent: -1}
	if !d.since.IsZero() {
		c.Lasted = now.Sub(d.since)
	}
	if !d.answeredAt.IsZero() {
		c.Silent = now.Sub(d.answeredAt)
	}
	last := time.Time{}
	for _, known := range d.contacts {
		if known.failedAt.After(last) {
			last, c.Why = known.failedAt, known.failure
		}
	}
	return c
}
