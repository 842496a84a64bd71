package quorum

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// hold is how long a claim in the tests may be held.
const hold = 2 * time.Second

func (c *cluster) open(o *call) uint64 {
	c.nextCall++
	o.began = c.now
	c.calls[c.nextCall] = o
	return c.nextCall
}

func (c *cluster) propose(r *replica, id uint64, command ledger.Command) {
	command.At = c.now
	data, err := ledger.Encode(command)
	if err != nil {
		c.violate("encode: %v", err)
		return
	}
	c.effects(r, r.state.Propose(id, data, c.now))
}

// put tries to change a section from the version that the replica knows.
func (c *cluster) put(r *replica, client int) {
	section, _ := r.machine.Section(document.SectionRanks)
	o := &call{client: client, input: operation{base: section.Version}}
	id := c.open(o)
	c.propose(r, id, ledger.Command{Put: &ledger.Put{
		Section:  document.SectionRanks,
		Base:     section.Version,
		ChangeID: fmt.Sprint("change-", id),
		Text:     []byte(fmt.Sprint("# ", id)),
		Checked:  r.machine.Versions(),
	}})
}

func (c *cluster) read(r *replica, client int) {
	id := c.open(&call{client: client, input: operation{read: true}})
	c.effects(r, r.state.Read(id, c.now))
}

// claim tries to run an operation once.
func (c *cluster) claim(r *replica, client int) {
	const keys = 5
	key := fmt.Sprint("key-", c.random.IntN(keys))
	o := &call{client: client, key: key}
	id := c.open(o)
	o.attempt = fmt.Sprint("attempt-", id)
	if c.eagerRun {
		c.runOnce(o)
	}
	c.propose(r, id, ledger.Command{Claim: &ledger.Claim{
		Key:     ledger.Key{Service: "pay", Key: key},
		Attempt: o.attempt,
		Holder:  string(r.id),
		Hold:    hold,
		Keep:    time.Hour,
	}})
}

func (c *cluster) runOnce(o *call) {
	if c.released[o.attempt] {
		c.violate("attempt %s ran after it was called not run", o.attempt)
	}
	c.ran[o.attempt] = true
	c.runs[o.key]++
	if c.runs[o.key] > 1 {
		c.violate("key %s ran %d times", o.key, c.runs[o.key])
	}
}

// claimed decides what the holder does: run and settle, run and die, or give the
// claim back.
func (c *cluster) claimed(id uint64, result *ledger.ClaimResult) {
	o := c.calls[id]
	delete(c.calls, id)
	if o == nil || result.Code != ledger.ClaimGranted || c.now.Sub(o.began) > hold {
		return
	}
	key := ledger.Key{Service: "pay", Key: o.key}
	choice := c.random.IntN(3)
	if choice == 0 {
		c.released[o.attempt] = true
		c.anywhere(ledger.Command{Release: &ledger.Release{Key: key, Attempt: o.attempt}})
		return
	}
	if !c.eagerRun {
		c.runOnce(o)
	}
	if choice == 1 {
		c.anywhere(ledger.Command{Settle: &ledger.Settle{Key: key, Attempt: o.attempt, Outcome: ledger.Outcome{Status: 200}}})
	}
}

// anywhere proposes at some replica that is up; it may be refused or lost.
func (c *cluster) anywhere(command ledger.Command) {
	for _, at := range c.random.Perm(len(c.replicas)) {
		if r := c.replicas[at]; r.up && r.state.Role == RoleLeader {
			c.propose(r, c.open(&call{}), command)
			return
		}
	}
}

// refuse ends a call that was not taken; nothing came of it.
func (c *cluster) refuse(id uint64) { delete(c.calls, id) }

// finish adds a call to the history.
func (c *cluster) finish(id uint64, out outcome) {
	o := c.calls[id]
	if o == nil || o.key != "" {
		delete(c.calls, id)
		return
	}
	delete(c.calls, id)
	if out.unknown && o.input.read {
		return
	}
	returned := c.now.Sub(epoch).Nanoseconds() + 1
	if out.unknown {
		returned = math.MaxInt64
	}
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history),
		Input:    o.input,
		Output:   out,
		Call:     o.began.Sub(epoch).Nanoseconds(),
		Return:   returned,
	})
}

// work lets clients of all replicas operate for a while.
func (c *cluster) work(length time.Duration) {
	const pause = 70 * time.Millisecond
	for end := c.now.Add(length); c.now.Before(end); {
		for client, r := range c.replicas {
			if !r.up {
				continue
			}
			switch c.random.IntN(6) {
			case 0, 1:
				c.put(r, client)
			case 2:
				c.read(r, client)
			case 3:
				c.claim(r, client)
			}
		}
		c.run(pause)
	}
}

// versionModel is a section: a put from the present version raises it by one.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(uint64), input.(operation), output.(outcome)
		switch {
		case in.read:
			return only(version == out.version, version)
		case out.unknown && in.base == version:
			return []any{version, version + 1}
		case out.unknown:
			return []any{version}
		case out.accepted:
			return only(in.base == version && out.version == version+1, version+1)
		default:
			return only(in.base != version && out.version == version, version)
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func only(fits bool, state uint64) []any {
	if !fits {
		return nil
	}
	return []any{state}
}

func (c *cluster) checkHistory() {
	const limit = 30 * time.Second // of the checker itself; it never decides
	model := versionModel.ToModel()
	if porcupine.CheckOperationsTimeout(model, c.history, limit) == porcupine.Illegal {
		c.violate("history of %d operations is not linearizable", len(c.history))
	}
}

// heal ends all faults, lets the replicas agree and checks that they hold every
// acknowledged change.
func (c *cluster) heal() {
	c.cuts = make(map[[2]ID]bool)
	c.loss = 0
	for _, r := range c.replicas {
		r.slow = 0
		if !r.up {
			c.start(r)
		}
	}
	c.run(10 * time.Second)
	for index, data := range c.acked {
		if entry, known := c.committed[index]; !known || string(entry.Data) != data {
			c.violate("acknowledged change at index %d is lost", index)
		}
	}
	// A replica that was removed while it was down cannot know it, so the
	// replica set that counts is the one that has committed.
	newest := c.replicas[0]
	for _, r := range c.replicas {
		if r.state.Commit > newest.state.Commit {
			newest = r
		}
	}
	for _, member := range newest.state.Config().Replicas() {
		if r := c.find(member.ID); r.state.Commit != newest.state.Commit {
			c.violate("replica %s stands at %d after healing, others at %d", r.id, r.state.Commit, newest.state.Commit)
		}
	}
}
