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

const step = 10 * time.Millisecond

// cluster drives the state machines of some replicas in virtual time through a
// network and disks that misbehave.
type cluster struct {
	now      time.Time
	random   *rand.Rand
	replicas []*replica
	flying   []flight
	cuts     map[[2]ID]bool
	loss     float64
	faults   faults
	skipSync bool // disks confirm what they have not synced
	eagerRun bool // operations are sent before their claim is granted

	violations []string
	leaders    map[uint64]ID
	committed  map[uint64]Entry
	acked      map[uint64]string // accepted change by log index
	runs       map[string]int    // by claim key
	released   map[string]bool   // attempts that stated "not run"
	ran        map[string]bool   // attempts that ran
	history    []porcupine.Operation
	calls      map[uint64]*call
	nextCall   uint64
	elections  int
}

// replica is one VM with its disk.
type replica struct {
	id       ID
	state    *State
	machine  *ledger.State
	disk     DurableState
	saving   []save
	up       bool
	proposed map[uint64]proposed // by index
	slow     time.Duration
}

type save struct {
	Save
	done time.Time
}

type proposed struct {
	call uint64
	term uint64
}

type flight struct {
	message Message
	at      time.Time
	order   uint64
}

// call is an operation of a client.
type call struct {
	input   operation
	began   time.Time
	client  int
	attempt string
	key     string
}

// operation is the input of the checked history.
type operation struct {
	read bool
	base uint64
}

// outcome is its output.
type outcome struct {
	unknown  bool
	accepted bool
	version  uint64
}

func newCluster(size int, seed uint64, set faults) *cluster {
	c := &cluster{
		now:       epoch,
		random:    rand.New(rand.NewPCG(seed, 1)),
		cuts:      make(map[[2]ID]bool),
		faults:    set,
		leaders:   make(map[uint64]ID),
		committed: make(map[uint64]Entry),
		acked:     make(map[uint64]string),
		runs:      make(map[string]int),
		released:  make(map[string]bool),
		ran:       make(map[string]bool),
		calls:     make(map[uint64]*call),
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
	r.state.faults = c.faults
	machine, err := ledger.Restore(disk.Snapshot.Data)
	if err != nil {
		c.violate("restore: %v", err)
	}
	r.machine, r.saving, r.up = machine, nil, true
	r.proposed = make(map[uint64]proposed)
}

func (c *cluster) violate(format string, args ...any) {
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

// crash loses all that was not synced.
func (c *cluster) crash(r *replica) {
	r.up = false
	r.saving = nil
	for _, index := range sortedIndexes(r.proposed) {
		c.finish(r.proposed[index].call, outcome{unknown: true})
	}
}

func sortedIndexes(m map[uint64]proposed) []uint64 {
	var indexes []uint64
	for index := range m {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// run lets virtual time pass.
func (c *cluster) run(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		for _, r := range c.replicas {
			if !r.up {
				continue
			}
			c.finishSaves(r)
			c.effects(r, r.state.Tick(c.now))
		}
	}
}

func (c *cluster) deliver() {
	slices.SortFunc(c.flying, func(a, b flight) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
	})
	for len(c.flying) > 0 && !c.flying[0].at.After(c.now) {
		message := c.flying[0].message
		c.flying = c.flying[1:]
		r := c.find(message.To)
		if r != nil && r.up && !c.cuts[[2]ID{message.From, message.To}] {
			c.effects(r, r.state.Receive(message, c.now))
		}
	}
}

func (c *cluster) finishSaves(r *replica) {
	done := 0
	for _, s := range r.saving {
		if s.done.After(c.now) {
			break
		}
		done++
	}
	if done == 0 {
		return
	}
	finished := r.saving[:done]
	r.saving = r.saving[done:]
	for _, s := range finished {
		if !c.skipSync {
			r.disk.ApplySave(s.Save)
		}
		for _, message := range s.Then {
			c.send(message)
		}
	}
	c.effects(r, r.state.Saved(finished[done-1].Sequence, c.now))
}

func (c *cluster) send(message Message) {
	if c.random.Float64() < c.loss {
		return
	}
	copies := 1
	const duplicates = 0.02
	if c.random.Float64() < duplicates {
		copies = 2
	}
	for range copies {
		const least, spread = 1, 60 // milliseconds
		delay := time.Duration(least+c.random.IntN(spread)) * time.Millisecond
		c.nextCall++
		c.flying = append(c.flying, flight{message: message, at: c.now.Add(delay), order: c.nextCall})
	}
}

func (c *cluster) effects(r *replica, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Save:
			delay := r.slow + time.Duration(c.random.IntN(20))*time.Millisecond
			done := c.now.Add(delay)
			if n := len(r.saving); n > 0 && r.saving[n-1].done.After(done) {
				done = r.saving[n-1].done
			}
			r.saving = append(r.saving, save{Save: e, done: done})
		case Send:
			c.send(e.Message)
		case Apply:
			c.apply(r, e.Entry)
		case Restore:
			machine, err := ledger.Restore(e.Snapshot.Data)
			if err != nil {
				c.violate("restore: %v", err)
				continue
			}
			r.machine = machine
		case Appended:
			r.proposed[e.Index] = proposed{call: e.Proposal, term: e.Term}
		case Refused:
			c.refuse(e.Proposal)
		case ReadReady:
			section, _ := r.machine.Section(document.SectionRanks)
			c.finish(e.Read, outcome{version: section.Version})
		case RoleChanged:
			c.roleChanged(r, e)
		}
	}
}

func (c *cluster) roleChanged(r *replica, e RoleChanged) {
	if e.Role != RoleLeader {
		for _, index := range sortedIndexes(r.proposed) {
			c.finish(r.proposed[index].call, outcome{unknown: true})
		}
		r.proposed = make(map[uint64]proposed)
		return
	}
	c.elections++
	if other, taken := c.leaders[e.Term]; taken && other != r.id {
		c.violate("term %d has leaders %s and %s", e.Term, other, r.id)
	}
	c.leaders[e.Term] = r.id
}

// apply checks that all replicas apply the same entry at each index.
func (c *cluster) apply(r *replica, entry Entry) {
	if first, known := c.committed[entry.Index]; known {
		if first.Term != entry.Term || string(first.Data) != string(entry.Data) {
			c.violate("index %d was committed in term %d and in term %d", entry.Index, first.Term, entry.Term)
		}
	} else {
		c.committed[entry.Index] = entry
	}
	var result ledger.Result
	if entry.Kind == EntryData {
		command, err := ledger.Decode(entry.Data)
		if err != nil {
			c.violate("decode: %v", err)
			return
		}
		result = r.machine.Apply(ledger.Position{Term: entry.Term, Index: entry.Index}, command)
	}
	waiting, found := r.proposed[entry.Index]
	if !found {
		return
	}
	delete(r.proposed, entry.Index)
	if waiting.term != entry.Term {
		c.finish(waiting.call, outcome{unknown: true})
		return
	}
	c.answered(waiting.call, result, entry)
}

func (c *cluster) answered(id uint64, result ledger.Result, entry Entry) {
	switch {
	case result.Put != nil:
		accepted := result.Put.Code == ledger.PutAccepted
		if accepted {
			c.acked[entry.Index] = string(entry.Data)
		}
		c.finish(id, outcome{accepted: accepted, version: result.Put.Version})
	case result.Claim != nil:
		c.claimed(id, result.Claim)
	default:
		delete(c.calls, id)
	}
}
