package quorum

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is the virtual time between two ticks.
const step = 10 * time.Millisecond

// cluster runs the state machines of several replicas in virtual time, with a
// simulated network and simulated disks that fail.
type cluster struct {
	now            time.Time
	random         *rand.Rand
	replicas       []*replica
	inFlight       []delivery
	cutLinks       map[[2]ID]bool
	lossRate       float64
	fixedDelay     time.Duration // of each message when set; then none is lost or doubled at random
	bulkDelay      time.Duration // added to fixedDelay for a message of more than bulkSize
	linkRate       map[ID]int    // bytes of entries and snapshot per second to a receiver, in order; 0 means no limit
	linkFreeAt     map[ID]time.Time
	sentBulk       map[ID]int // bytes of entries and snapshot chunks sent, by receiver
	mutations      mutations
	skipSync       bool // disks confirm saves without writing them
	runBeforeGrant bool // operations run before their claim is granted

	violations   []string
	leaders      map[uint64]ID     // by term
	committed    map[uint64]Entry  // by log index
	acked        map[uint64]string // data of accepted changes by log index
	runs         map[string]int    // by claim key
	released     map[string]bool   // attempts that were reported as not run
	ran          map[string]bool   // attempts that ran
	history      []porcupine.Operation
	pendingCalls map[uint64]*call
	nextCall     uint64 // last number given to a call or a delivery
	elections    int
}

// replica is one simulated replica with its disk.
type replica struct {
	id               ID
	state            *State
	machine          *ledger.State
	disk             DurableState
	pendingSaves     []save
	up               bool
	pendingProposals map[uint64]pendingProposal // by log index
	diskDelay        time.Duration
}

// save is a Save that the simulated disk finishes at syncedAt.
type save struct {
	Save
	syncedAt time.Time
}

// pendingProposal is a proposal that is in the log and not applied yet.
type pendingProposal struct {
	call uint64 // key in cluster.pendingCalls
	term uint64
}

// delivery is a message in transit.
type delivery struct {
	message   Message
	arrivesAt time.Time
	order     uint64 // of sending; breaks ties of arrivesAt
}

// call is a call of a client that has no answer yet.
type call struct {
	input     operation
	startedAt time.Time
	client    int
	attempt   string
	key       string
}

// operation is the input of a call in the checked history.
type operation struct {
	read        bool
	baseVersion uint64
}

// outcome is the output of a call in the checked history.
type outcome struct {
	unknown  bool
	accepted bool
	version  uint64
}

func newCluster(size int, seed uint64, m mutations) *cluster {
	c := &cluster{
		now:          epoch,
		random:       rand.New(rand.NewPCG(seed, 1)),
		cutLinks:     make(map[[2]ID]bool),
		linkRate:     make(map[ID]int),
		linkFreeAt:   make(map[ID]time.Time),
		sentBulk:     make(map[ID]int),
		mutations:    m,
		leaders:      make(map[uint64]ID),
		committed:    make(map[uint64]Entry),
		acked:        make(map[uint64]string),
		runs:         make(map[string]int),
		released:     make(map[string]bool),
		ran:          make(map[string]bool),
		pendingCalls: make(map[uint64]*call),
	}
	var config Config
	for i := range size {
		id := ID(fmt.Sprint("r", i))
		config.Voters = append(config.Voters, Replica{ID: id, Address: string(id)})
	}
	for _, voter := range config.Voters {
		c.add(voter.ID, Snapshot{Config: config})
	}
	return c
}

func (c *cluster) add(id ID, first Snapshot) *replica {
	r := &replica{id: id, disk: DurableState{Snapshot: first}}
	c.replicas = append(c.replicas, r)
	c.start(r)
	return r
}

func (c *cluster) start(r *replica) {
	settings := DefaultSettings(r.id)
	settings.Seed = c.random.Uint64()
	disk := r.disk
	disk.Entries = slices.Clone(disk.Entries)
	r.state = New(settings, disk, c.now)
	r.state.mutations = c.mutations
	machine, err := ledger.Restore(disk.Snapshot.Data)
	if err != nil {
		c.addViolation("restore: %v", err)
	}
	r.machine, r.pendingSaves, r.up = machine, nil, true
	r.pendingProposals = make(map[uint64]pendingProposal)
}

func (c *cluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *cluster) find(id ID) *replica {
	for _, r := range c.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// crash stops the replica and drops the saves that were not synced.
func (c *cluster) crash(r *replica) {
	r.up = false
	r.pendingSaves = nil
	for _, index := range sortedIndexes(r.pendingProposals) {
		c.finishCall(r.pendingProposals[index].call, outcome{unknown: true})
	}
}

func sortedIndexes(m map[uint64]pendingProposal) []uint64 {
	var indexes []uint64
	for index := range m {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// run advances virtual time.
func (c *cluster) run(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		for _, r := range c.replicas {
			if !r.up {
				continue
			}
			c.completeSaves(r)
			c.runEffects(r, r.state.Tick(c.now))
		}
	}
}

func (c *cluster) deliver() {
	slices.SortFunc(c.inFlight, func(a, b delivery) int {
		return cmp.Or(a.arrivesAt.Compare(b.arrivesAt), cmp.Compare(a.order, b.order))
	})
	for len(c.inFlight) > 0 && !c.inFlight[0].arrivesAt.After(c.now) {
		message := c.inFlight[0].message
		c.inFlight = c.inFlight[1:]
		r := c.find(message.To)
		if r != nil && r.up && !c.cutLinks[[2]ID{message.From, message.To}] {
			c.runEffects(r, r.state.Receive(message, c.now))
		}
	}
}

func (c *cluster) completeSaves(r *replica) {
	done := 0
	for _, s := range r.pendingSaves {
		if s.syncedAt.After(c.now) {
			break
		}
		done++
	}
	if done == 0 {
		return
	}
	finished := r.pendingSaves[:done]
	r.pendingSaves = r.pendingSaves[done:]
	for _, s := range finished {
		if !c.skipSync {
			r.disk.ApplySave(s.Save)
		}
		for _, message := range s.Then {
			c.send(message)
		}
	}
	c.runEffects(r, r.state.Saved(finished[done-1].Sequence, c.now))
}

// bulkSize is the number of bytes of entries and snapshot from which on a message
// takes longer.
const bulkSize = 16 << 10

func (c *cluster) send(message Message) {
	size := len(message.Piece.Data)
	for _, entry := range message.Entries {
		size += entry.size()
	}
	c.sentBulk[message.To] += size
	if c.fixedDelay > 0 {
		delay := c.fixedDelay
		if size > bulkSize {
			delay += c.bulkDelay
		}
		leavesAt := c.now
		if rate := c.linkRate[message.To]; rate > 0 {
			if c.linkFreeAt[message.To].After(c.now) {
				leavesAt = c.linkFreeAt[message.To]
			}
			leavesAt = leavesAt.Add(time.Duration(size) * time.Second / time.Duration(rate))
			c.linkFreeAt[message.To] = leavesAt
		}
		c.nextCall++
		c.inFlight = append(c.inFlight, delivery{message: message, arrivesAt: leavesAt.Add(delay), order: c.nextCall})
		return
	}
	if c.random.Float64() < c.lossRate {
		return
	}
	copies := 1
	const duplicateRate = 0.02
	if c.random.Float64() < duplicateRate {
		copies = 2
	}
	for range copies {
		const minDelay, jitter = 1, 60 // milliseconds
		delay := time.Duration(minDelay+c.random.IntN(jitter)) * time.Millisecond
		c.nextCall++
		c.inFlight = append(c.inFlight, delivery{message: message, arrivesAt: c.now.Add(delay), order: c.nextCall})
	}
}

func (c *cluster) runEffects(r *replica, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Save:
			delay := r.diskDelay + time.Duration(c.random.IntN(20))*time.Millisecond
			syncedAt := c.now.Add(delay)
			if n := len(r.pendingSaves); n > 0 && r.pendingSaves[n-1].syncedAt.After(syncedAt) {
				syncedAt = r.pendingSaves[n-1].syncedAt
			}
			r.pendingSaves = append(r.pendingSaves, save{Save: e, syncedAt: syncedAt})
		case Send:
			c.send(e.Message)
		case Apply:
			c.apply(r, e.Entry)
		case Restore:
			machine, err := ledger.Restore(e.Snapshot.Data)
			if err != nil {
				c.addViolation("restore: %v", err)
				continue
			}
			r.machine = machine
		case Appended:
			r.pendingProposals[e.Index] = pendingProposal{call: e.Proposal, term: e.Term}
		case Refused:
			c.dropCall(e.Proposal)
		case ReadReady:
			section, _ := r.machine.Section(document.SectionRanks)
			c.finishCall(e.Read, outcome{version: section.Version})
		case RoleChanged:
			c.onRoleChanged(r, e)
		}
	}
}

func (c *cluster) onRoleChanged(r *replica, e RoleChanged) {
	if e.Role != RoleLeader {
		for _, index := range sortedIndexes(r.pendingProposals) {
			c.finishCall(r.pendingProposals[index].call, outcome{unknown: true})
		}
		r.pendingProposals = make(map[uint64]pendingProposal)
		return
	}
	c.elections++
	if other, found := c.leaders[e.Term]; found && other != r.id {
		c.addViolation("term %d has leaders %s and %s", e.Term, other, r.id)
	}
	c.leaders[e.Term] = r.id
}

// apply applies a committed entry at a replica and checks that all replicas apply
// the same entry at each index.
func (c *cluster) apply(r *replica, entry Entry) {
	if first, found := c.committed[entry.Index]; found {
		if first.Term != entry.Term || string(first.Data) != string(entry.Data) {
			c.addViolation("index %d was committed in term %d and in term %d", entry.Index, first.Term, entry.Term)
		}
	} else {
		c.committed[entry.Index] = entry
	}
	var result ledger.Result
	if entry.Kind == EntryData {
		command, err := ledger.Decode(entry.Data)
		if err != nil {
			c.addViolation("decode: %v", err)
			return
		}
		result = r.machine.Apply(ledger.Position{Term: entry.Term, Index: entry.Index}, command)
	}
	proposal, found := r.pendingProposals[entry.Index]
	if !found {
		return
	}
	delete(r.pendingProposals, entry.Index)
	if proposal.term != entry.Term {
		c.finishCall(proposal.call, outcome{unknown: true})
		return
	}
	c.onApplied(proposal.call, result, entry)
}

func (c *cluster) onApplied(id uint64, result ledger.Result, entry Entry) {
	switch {
	case result.Put != nil:
		accepted := result.Put.Code == ledger.PutAccepted
		if accepted {
			c.acked[entry.Index] = string(entry.Data)
		}
		c.finishCall(id, outcome{accepted: accepted, version: result.Put.Version})
	case result.Claim != nil:
		c.onClaimResult(id, result.Claim)
	default:
		delete(c.pendingCalls, id)
	}
}
