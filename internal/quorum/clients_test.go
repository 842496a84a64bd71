package quorum

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// claimHold is how long the holder of a claim may still send.
const claimHold = 2 * time.Second

func (c *cluster) startCall(o *call) uint64 {
	c.nextCall++
	o.startedAt = c.now
	c.pendingCalls[c.nextCall] = o
	return c.nextCall
}

func (c *cluster) propose(r *replica, id uint64, command ledger.Command) {
	command.At = c.now
	data, err := ledger.Encode(command)
	if err != nil {
		c.addViolation("encode: %v", err)
		return
	}
	c.runEffects(r, r.state.Propose(id, data, c.now))
}

// put proposes a change of a section, based on the version that the replica holds.
func (c *cluster) put(r *replica, client int) {
	section, _ := r.machine.Section(document.SectionRanks)
	o := &call{client: client, input: operation{baseVersion: section.Version}}
	id := c.startCall(o)
	c.propose(r, id, ledger.Command{Put: &ledger.Put{
		Section:  document.SectionRanks,
		Base:     section.Version,
		ChangeID: fmt.Sprint("change-", id),
		Text:     []byte(fmt.Sprint("# ", id)),
		Checked:  r.machine.Versions(),
	}})
}

func (c *cluster) read(r *replica, client int) {
	id := c.startCall(&call{client: client, input: operation{read: true}})
	c.runEffects(r, r.state.Read(id, c.now))
}

// claim proposes a claim on one of a few keys.
func (c *cluster) claim(r *replica, client int) {
	const keys = 5
	key := fmt.Sprint("key-", c.random.IntN(keys))
	o := &call{client: client, key: key}
	id := c.startCall(o)
	o.attempt = fmt.Sprint("attempt-", id)
	if c.runBeforeGrant {
		c.recordRun(o)
	}
	c.propose(r, id, ledger.Command{Claim: &ledger.Claim{
		Key:     ledger.Key{Service: "pay", Key: key},
		Attempt: o.attempt,
		Holder:  string(r.id),
		Hold:    claimHold,
		Keep:    time.Hour,
	}})
}

func (c *cluster) recordRun(o *call) {
	if c.released[o.attempt] {
		c.addViolation("attempt %s ran after it was reported as not run", o.attempt)
	}
	c.ran[o.attempt] = true
	c.runs[o.key]++
	if c.runs[o.key] > 1 {
		c.addViolation("key %s ran %d times", o.key, c.runs[o.key])
	}
}

// onClaimResult handles the answer to a claim. The holder either runs the
// operation and settles the claim, runs it and fails, or releases the claim.
func (c *cluster) onClaimResult(id uint64, result *ledger.ClaimResult) {
	o := c.pendingCalls[id]
	delete(c.pendingCalls, id)
	if o == nil || result.Code != ledger.ClaimGranted || c.now.Sub(o.startedAt) > claimHold {
		return
	}
	key := ledger.Key{Service: "pay", Key: o.key}
	choice := c.random.IntN(3)
	if choice == 0 {
		c.released[o.attempt] = true
		c.proposeAtLeader(ledger.Command{Release: &ledger.Release{Key: key, Attempt: o.attempt}})
		return
	}
	if !c.runBeforeGrant {
		c.recordRun(o)
	}
	if choice == 1 {
		c.proposeAtLeader(ledger.Command{Settle: &ledger.Settle{Key: key, Attempt: o.attempt, Outcome: ledger.Outcome{Status: 200}}})
	}
}

// proposeAtLeader proposes at a replica that takes itself for the leader; the
// proposal may be lost.
func (c *cluster) proposeAtLeader(command ledger.Command) {
	for _, at := range c.random.Perm(len(c.replicas)) {
		if r := c.replicas[at]; r.up && r.state.Role == RoleLeader {
			c.propose(r, c.startCall(&call{}), command)
			return
		}
	}
}

// dropCall ends a call that was refused and had no effect.
func (c *cluster) dropCall(id uint64) { delete(c.pendingCalls, id) }

// finishCall ends a call and adds it to the history, except claims and reads
// without an outcome.
func (c *cluster) finishCall(id uint64, out outcome) {
	o := c.pendingCalls[id]
	if o == nil || o.key != "" {
		delete(c.pendingCalls, id)
		return
	}
	delete(c.pendingCalls, id)
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
		Call:     o.startedAt.Sub(epoch).Nanoseconds(),
		Return:   returned,
	})
}

// runClients makes random calls at all replicas that are up.
func (c *cluster) runClients(length time.Duration) {
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

// versionModel models a section's version: a put based on the current version
// raises it by one; a put with an unknown outcome may or may not have done so.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(uint64), input.(operation), output.(outcome)
		switch {
		case in.read:
			return stateIf(version == out.version, version)
		case out.unknown && in.baseVersion == version:
			return []any{version, version + 1}
		case out.unknown:
			return []any{version}
		case out.accepted:
			return stateIf(in.baseVersion == version && out.version == version+1, version+1)
		default:
			return stateIf(in.baseVersion != version && out.version == version, version)
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func stateIf(allowed bool, state uint64) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

func (c *cluster) checkHistory() {
	const limit = 30 * time.Second // of the checker; a timeout is not a violation
	model := versionModel.ToModel()
	if porcupine.CheckOperationsTimeout(model, c.history, limit) == porcupine.Illegal {
		c.addViolation("history of %d operations is not linearizable", len(c.history))
	}
}

// heal ends all faults, gives the replicas time to converge, and checks that no
// acknowledged change is lost and that all replicas reach the same commit index.
func (c *cluster) heal() {
	c.cutLinks = make(map[[2]ID]bool)
	c.lossRate = 0
	for _, r := range c.replicas {
		r.diskDelay = 0
		if !r.up {
			c.start(r)
		}
	}
	c.run(10 * time.Second)
	for index, data := range c.acked {
		if entry, found := c.committed[index]; !found || string(entry.Data) != data {
			c.addViolation("acknowledged change at index %d is lost", index)
		}
	}
	// A replica that was removed while it was down may not know of the removal,
	// so the replica set is taken from the replica with the highest commit index.
	newest := c.replicas[0]
	for _, r := range c.replicas {
		if r.state.Commit > newest.state.Commit {
			newest = r
		}
	}
	for _, member := range newest.state.Config().Replicas() {
		if r := c.find(member.ID); r.state.Commit != newest.state.Commit {
			c.addViolation("replica %s has commit index %d after healing, want %d", r.id, r.state.Commit, newest.state.Commit)
		}
	}
}
