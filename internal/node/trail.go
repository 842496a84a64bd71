package node

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/heatherwood/heatherwood/internal/audit"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/peerrpc"
	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Timings and bounds of a VM's audit trail.
const (
	trailInterval  = 200 * time.Millisecond // between syncs
	shipInterval   = time.Second            // between shipments
	tallyInterval  = time.Second
	anchorInterval = 10 * time.Second
	anchorLimit    = 5 * time.Second
	shipLimit      = 3 * time.Second
	shipBatch      = 500    // records in one shipment
	maxUnshipped   = 20_000 // records kept until a VM with a disk takes them
	recentRecords  = 10_000 // records kept for the operators' listing
)

// trail seals the audit records of this VM and keeps them: in files where the
// VM has a disk, else with a control VM that has.
type trail struct {
	node  *Node
	mutex sync.Mutex
	chain audit.Chain
	queue []audit.Record // not written or shipped yet
	last  []audit.Record
	drops int64 // records dropped and not admitted yet

	files       sync.Mutex
	writer      *audit.Writer
	anchored    map[string]uint64
	anchorDue   time.Time
	tallyDue    time.Time
	shipTurn    int
	writeFailed bool
	packer      audit.Packer
}

func newTrail(node *Node) (*trail, error) {
	t := &trail{
		node:     node,
		chain:    audit.Chain{Name: audit.ChainName(node.Settings.ID, uint64(node.Clock.Now().UnixNano()))},
		anchored: make(map[string]uint64),
	}
	if node.Settings.DataDir == "" {
		return t, nil
	}
	writer, err := audit.OpenWriter(filepath.Join(node.Settings.DataDir, auditFolder))
	if err != nil {
		return nil, err
	}
	t.writer = writer
	return t, nil
}

// add seals a record and queues it.
func (t *trail) add(entry reducer.Audit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry.At = entry.At.UTC().Round(0)
	record, err := t.chain.Append(entry)
	if err != nil {
		return
	}
	t.queue = append(t.queue, record)
	if len(t.queue) > maxUnshipped {
		t.queue = t.queue[1:]
		t.drops++
		t.node.Metrics.AuditDropped.Inc()
	}
	t.last = append(t.last, record)
	if len(t.last) > 2*recentRecords {
		t.last = slices.Clone(t.last[recentRecords:])
	}
}

func (t *trail) run() {
	for {
		select {
		case <-t.node.stopped:
			return
		case <-t.node.Clock.After(t.interval()):
			t.tally()
			if t.writer != nil {
				t.store()
				t.anchor()
			} else {
				t.ship()
			}
		}
	}
}

func (t *trail) interval() time.Duration {
	if t.writer == nil {
		return shipInterval
	}
	return trailInterval
}

// tally turns the counts of the last second into records.
func (t *trail) tally() {
	now := t.node.Clock.Now()
	if now.Before(t.tallyDue) {
		return
	}
	t.tallyDue = now.Add(tallyInterval)
	for _, entry := range t.node.tallies.take(t.node.Settings.Domain) {
		t.node.RecordAudit(entry)
	}
}

func (t *trail) take(most int) []audit.Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.queue[:min(most, len(t.queue))])
}

// done forgets queued records before the sequence.
func (t *trail) done(next uint64) {
	t.mutex.Lock()
	kept := 0
	for kept < len(t.queue) && t.queue[kept].Sequence < next {
		kept++
	}
	t.queue = t.queue[kept:]
	drops := t.drops
	t.drops = 0
	t.mutex.Unlock()
	if drops > 0 {
		// The trail admits what it lost.
		t.node.logEvent(reducer.Log{Code: reducer.CodeAuditDropped, Count: drops})
		t.node.RecordAudit(reducer.Audit{Kind: reducer.AuditTally, Outcome: "dropped", Count: drops})
	}
}

// store writes and syncs what is queued.
func (t *trail) store() {
	records := t.take(maxUnshipped)
	if len(records) == 0 {
		return
	}
	if err := t.write(records); err != nil {
		if !t.writeFailed {
			t.node.logEvent(reducer.Log{Code: reducer.CodeAuditFailed, Detail: err.Error()})
		}
		t.writeFailed = true
		return
	}
	t.writeFailed = false
	t.done(records[len(records)-1].Sequence + 1)
}

func (t *trail) write(records []audit.Record) error {
	t.files.Lock()
	defer t.files.Unlock()
	for _, record := range records {
		if err := t.writer.Write(record); err != nil {
			return err
		}
	}
	return t.writer.Sync()
}

// anchor fixes the heads of the trails held here in the replicated log.
func (t *trail) anchor() {
	now := t.node.Clock.Now()
	if now.Before(t.anchorDue) {
		return
	}
	t.anchorDue = now.Add(anchorInterval)
	t.files.Lock()
	heads := t.writer.Heads()
	t.files.Unlock()
	var command ledger.Command
	for _, head := range heads {
		if t.anchored[head.Chain] < head.Sequence {
			command.Anchors = append(command.Anchors, ledger.Anchor{Chain: head.Chain, Sequence: head.Sequence, Hash: head.Hash})
		}
	}
	if len(command.Anchors) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), anchorLimit)
	defer cancel()
	if _, err := t.node.Propose(ctx, command); err != nil {
		return
	}
	for _, anchor := range command.Anchors {
		t.anchored[anchor.Chain] = anchor.Sequence
	}
}

// ship sends queued records to a control VM until it acknowledges them.
func (t *trail) ship() {
	records := t.take(shipBatch)
	peers := t.shipPeers()
	if len(records) == 0 || len(peers) == 0 {
		return
	}
	packed, err := t.packer.Pack(records)
	if err != nil {
		t.node.logEvent(reducer.Log{Code: reducer.CodeAuditFailed, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shipLimit)
	defer cancel()
	var reply peerrpc.ShipReply
	peer := peers[t.shipTurn%len(peers)]
	if err := t.node.Network.Call(ctx, peer, "Ship", &peerrpc.ShipArgs{Packed: packed}, &reply); err != nil {
		t.shipTurn++
		return
	}
	t.done(reply.Next)
}

// shipPeers returns control VMs to ship to: those of the own failure domain, whose
// links cost nothing, and others only where there is none or one does not answer.
func (t *trail) shipPeers() []string {
	view := t.node.View()
	if view == nil || t.shipTurn%2 == 1 || len(view.LocalControl) == 0 {
		return t.node.controlPeers()
	}
	return view.LocalControl
}

var errEmptyShipment = errors.New("the shipment holds no records")

// receive stores records of another VM and acknowledges them once synced.
func (t *trail) receive(args peerrpc.ShipArgs) (peerrpc.ShipReply, error) {
	if t.writer == nil {
		return peerrpc.ShipReply{}, fmt.Errorf("%s keeps no audit files", t.node.Settings.ID)
	}
	records, err := audit.Unpack(args.Packed)
	if err != nil {
		return peerrpc.ShipReply{}, fmt.Errorf("shipment: %w", err)
	}
	if len(records) == 0 {
		return peerrpc.ShipReply{}, errEmptyShipment
	}
	if err := t.write(records); err != nil {
		return peerrpc.ShipReply{}, err
	}
	return peerrpc.ShipReply{Next: records[len(records)-1].Sequence + 1}, nil
}

func (t *trail) close() {
	t.tallyDue = time.Time{}
	t.tally()
	if t.writer == nil {
		return
	}
	t.store()
	t.files.Lock()
	defer t.files.Unlock()
	if err := t.writer.Close(); err != nil {
		t.node.logEvent(reducer.Log{Code: reducer.CodeAuditFailed, Detail: err.Error()})
	}
}

// RecordAudit adds a record to the trail of this VM.
func (n *Node) RecordAudit(entry reducer.Audit) {
	entry.At = n.Clock.Now()
	n.trail.add(entry)
}

// RecentAudit returns the latest records of this VM, the newest last.
func (n *Node) RecentAudit(limit int) []audit.Record {
	n.trail.mutex.Lock()
	defer n.trail.mutex.Unlock()
	last := n.trail.last
	return slices.Clone(last[max(0, len(last)-limit):])
}
