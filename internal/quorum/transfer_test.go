package quorum

import (
	"bytes"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/pkg/document"
)

const (
	bulkEntry  = 1 << 20
	smallBytes = 64 << 10 // left for entries other than the bulk ones
)

// steadyCluster returns five replicas with a leader, a one-way delay of 35 ms and
// disks that take 20 to 40 ms, and a follower.
func steadyCluster(t *testing.T) (c *cluster, leader, follower *replica) {
	t.Helper()
	c = newCluster(5, 1, mutations{})
	c.fixedDelay = 35 * time.Millisecond
	for _, r := range c.replicas {
		r.diskDelay = 20 * time.Millisecond
	}
	c.run(5 * time.Second)
	for _, r := range c.replicas {
		if isLeader(r) {
			leader = r
		} else {
			follower = r
		}
	}
	if leader == nil {
		t.Fatal("no leader after 5 s")
	}
	return c, leader, follower
}

// proposeBulk proposes an entry of 1 MB that changes nothing.
func (c *cluster) proposeBulk(leader *replica) {
	c.propose(leader, c.startCall(&call{}), ledger.Command{Put: &ledger.Put{
		Section:  "none",
		ChangeID: c.now.String(),
		Text:     make([]byte, bulkEntry),
	}})
}

func (c *cluster) cutOff(id ID, cut bool) {
	for _, r := range c.replicas {
		c.cutLinks[[2]ID{r.id, id}] = cut
		c.cutLinks[[2]ID{id, r.id}] = cut
	}
}

func (c *cluster) checkCaughtUp(t *testing.T, leader, follower *replica) {
	t.Helper()
	if follower.state.Commit != leader.state.LastIndex() {
		t.Errorf("follower has commit index %d, want %d", follower.state.Commit, leader.state.LastIndex())
	}
	for _, violation := range c.violations {
		t.Error(violation)
	}
}

func TestBytesOfOneEntry(t *testing.T) {
	tests := map[string]struct {
		linkRate   int
		bulkDelay  time.Duration // by which heartbeats overtake the entry
		cutOff     time.Duration // of the follower, from the proposal on
		small      int           // small entries proposed after it, one each 20 ms
		wantCopies int
	}{
		"answered after 100 ms":              {wantCopies: 1},
		"with other entries":                 {small: 20, wantCopies: 1},
		"on a link of 2 Mbit/s":              {linkRate: 250_000, small: 50, wantCopies: 1},
		"overtaken by a heartbeat":           {bulkDelay: 60 * time.Millisecond, wantCopies: 1},
		"overtaken by entries":               {bulkDelay: 60 * time.Millisecond, small: 10, wantCopies: 1},
		"overtaken by several heartbeats":    {bulkDelay: 250 * time.Millisecond, wantCopies: 2},
		"lost once":                          {cutOff: 50 * time.Millisecond, wantCopies: 2},
		"lost once, with other entries":      {cutOff: 50 * time.Millisecond, small: 20, wantCopies: 2},
		"follower cut off for 300 ms":        {cutOff: 300 * time.Millisecond, wantCopies: 2},
		"follower cut off for 3 s":           {cutOff: 3 * time.Second, wantCopies: 2},
		"follower cut off 3 s, with entries": {cutOff: 3 * time.Second, small: 200, wantCopies: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, leader, follower := steadyCluster(t)
			before := c.sentBulk[follower.id]
			began := c.now
			c.cutOff(follower.id, test.cutOff > 0)
			c.bulkDelay, c.linkRate[follower.id] = test.bulkDelay, test.linkRate
			c.proposeBulk(leader)
			for c.now.Sub(began) < test.cutOff+5*time.Second {
				if c.now.Sub(began) >= test.cutOff {
					c.cutOff(follower.id, false)
				}
				if test.small > 0 && c.now.Sub(began)%(20*time.Millisecond) == 0 {
					test.small--
					c.put(leader, 0)
				}
				c.run(step)
			}
			sent := c.sentBulk[follower.id] - before
			t.Logf("%d KB of entries sent to the follower", sent>>10)
			if limit := test.wantCopies*bulkEntry + smallBytes; sent > limit {
				t.Errorf("%d bytes of entries sent for one of %d, want %d at most", sent, bulkEntry, limit)
			}
			c.checkCaughtUp(t, leader, follower)
		})
	}
}

func TestSilentFollowerGetsNoBulk(t *testing.T) {
	c, leader, follower := steadyCluster(t)
	c.cutOff(follower.id, true)
	c.run(leader.state.Settings.ElectionTimeout + leader.state.Settings.HeartbeatInterval)
	before := c.sentBulk[follower.id]
	for range 3 {
		c.proposeBulk(leader)
		c.run(time.Second)
	}
	if sent := c.sentBulk[follower.id] - before; sent > 0 {
		t.Errorf("%d bytes of entries sent to a follower that answers nothing", sent)
	}
	c.cutOff(follower.id, false)
	c.run(5 * time.Second)
	sent := c.sentBulk[follower.id] - before
	t.Logf("%d KB of entries sent to the follower", sent>>10)
	if limit := 3*bulkEntry + smallBytes; sent > limit {
		t.Errorf("%d bytes of entries sent for three of %d, want %d at most", sent, bulkEntry, limit)
	}
	c.checkCaughtUp(t, leader, follower)
}

// A peer that answers slowly gets a limited number of bytes, however many
// heartbeats pass.
func TestBytesInFlightAreLimited(t *testing.T) {
	const entries, size = 40, 200 << 10
	c, leader, follower := steadyCluster(t)
	before := c.sentBulk[follower.id]
	follower.diskDelay = 600 * time.Millisecond
	for range entries {
		c.propose(leader, c.startCall(&call{}), ledger.Command{Put: &ledger.Put{Section: "none", Text: make([]byte, size)}})
	}
	c.run(500 * time.Millisecond)
	sent := c.sentBulk[follower.id] - before
	t.Logf("%d KB of entries sent before the first answer", sent>>10)
	if limit := (maxInFlight+1)*leader.state.Settings.MaxBatchBytes + smallBytes; sent > limit {
		t.Errorf("%d bytes of entries sent before the first answer, want %d at most", sent, limit)
	}
	follower.diskDelay = 20 * time.Millisecond
	c.run(10 * time.Second)
	c.checkCaughtUp(t, leader, follower)
}

func TestBytesOfSnapshot(t *testing.T) {
	const text = 2 << 20
	tests := map[string]struct {
		linkRate  int
		pauseAt   time.Duration // after the follower's start
		pause     time.Duration // in which the follower is cut off
		wantSlack int           // chunks sent more than once
	}{
		"answered after 70 ms":      {},
		"on a link of 2 Mbit/s":     {linkRate: 250_000, wantSlack: 1},
		"on a link of 1 Mbit/s":     {linkRate: 125_000, wantSlack: 1},
		"cut off for 3 s":           {pauseAt: 300 * time.Millisecond, pause: 3 * time.Second, wantSlack: 2},
		"cut off from the start on": {pauseAt: 0, pause: 3 * time.Second, wantSlack: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, leader, follower := steadyCluster(t)
			c.crash(follower)
			section, _ := leader.machine.Section(document.SectionRanks)
			c.propose(leader, c.startCall(&call{}), ledger.Command{Put: &ledger.Put{
				Section:  document.SectionRanks,
				Base:     section.Version,
				ChangeID: "bulk",
				Text:     bytes.Repeat([]byte("#"), text),
				Checked:  leader.machine.Versions(),
			}})
			c.run(time.Second)
			c.compact(leader)
			total := len(leader.state.log.snapshot.Data)
			if total < text {
				t.Fatalf("snapshot of %d bytes, want %d at least", total, text)
			}
			before := c.sentBulk[follower.id]
			c.linkRate[follower.id] = test.linkRate
			c.start(follower)
			began := c.now
			for c.now.Sub(began) < 60*time.Second {
				at := c.now.Sub(began)
				c.cutOff(follower.id, at >= test.pauseAt && at < test.pauseAt+test.pause)
				c.run(step)
			}
			sent := c.sentBulk[follower.id] - before
			t.Logf("%d KB sent for a snapshot of %d KB", sent>>10, total>>10)
			if limit := total + test.wantSlack*leader.state.Settings.ChunkBytes + smallBytes; sent > limit {
				t.Errorf("%d bytes sent for a snapshot of %d, want %d at most", sent, total, limit)
			}
			c.checkCaughtUp(t, leader, follower)
		})
	}
}
