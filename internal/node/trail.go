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

// Intervals, timeouts and limits of a VM's audit trail.
const (
	syncInterval       = 200 * time.Millisecond // between writes, where the VM has a disk
	shipInterval       = time.Second            // between shipments, where it has none
	countInterval      = time.Second            // between records of request counts
	anchorInterval     = 10 * time.Second       // between anchors in the replicated log
	anchorTimeout      = 5 * time.Second
	shipTimeout        = 3 * time.Second
	maxShipmentRecords = 500
	maxQueuedRecords   = 20_000 // not written or shipped yet
	minRecentRecords   = 10_000 // kept in memory for the operators' listing
)

// auditTrail adds the audit records of this VM to a hash chain and stores them: in
// files if the VM has a disk, otherwise by shipping them to a control VM.
type auditTrail struct {
	node            *Node
	mutex           sync.Mutex // guards the fields up to unreportedDrops
	chain           audit.Chain
	queue           []audit.Record // not written or shipped yet
	recent          []audit.Record // for the operators' listing, newest last
	unreportedDrops int64          // dropped records that no audit record mentions yet

	writerMutex       sync.Mutex        // guards the use of writer
	writer            *audit.Writer     // nil without a data folder
	anchoredSequences map[string]uint64 // last anchored sequence by chain
	nextAnchorAt      time.Time
	nextCountAt       time.Time
	failedShipments   int  // since the start; selects the control VM to ship to
	writeFailed       bool // the last write failed, and this is logged
	packer            audit.Packer
}

func newAuditTrail(node *Node) (*auditTrail, error) {
	t := &auditTrail{
		node:              node,
		chain:             audit.Chain{Name: audit.ChainName(node.Settings.ID, uint64(node.Clock.Now().UnixNano()))},
		anchoredSequences: make(map[string]uint64),
	}
	if node.Settings.DataDir == "" {
		return t, nil
	}
	writer, err := audit.OpenWriter(filepath.Join(node.Settings.DataDir, auditFolderName))
	if err != nil {
		return nil, err
	}
	t.writer = writer
	return t, nil
}

// add appends a record to the hash chain and queues it; if the queue is full, the
// oldest record is dropped.
func (t *auditTrail) add(entry reducer.Audit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entry.At = entry.At.UTC().Round(0)
	record, err := t.chain.Append(entry)
	if err != nil {
		return
	}
	t.queue = append(t.queue, record)
	if len(t.queue) > maxQueuedRecords {
		t.queue = t.queue[1:]
		t.unreportedDrops++
		t.node.Metrics.AuditDropped.Inc()
	}
	t.recent = append(t.recent, record)
	if len(t.recent) > 2*minRecentRecords {
		t.recent = slices.Clone(t.recent[minRecentRecords:])
	}
}

func (t *auditTrail) run() {
	for {
		select {
		case <-t.node.stopped:
			return
		case <-t.node.Clock.After(t.interval()):
			t.recordRequestCounts()
			if t.writer != nil {
				t.writeQueue()
				t.anchorHeads()
			} else {
				t.shipQueue()
			}
		}
	}
}

func (t *auditTrail) interval() time.Duration {
	if t.writer == nil {
		return shipInterval
	}
	return syncInterval
}

// recordRequestCounts adds the request counts since the last call as audit records,
// at most once in countInterval.
func (t *auditTrail) recordRequestCounts() {
	now := t.node.Clock.Now()
	if now.Before(t.nextCountAt) {
		return
	}
	t.nextCountAt = now.Add(countInterval)
	for _, entry := range t.node.requestCounts.takeRecords(t.node.Settings.Domain) {
		t.node.RecordAudit(entry)
	}
}

// peekQueue returns a copy of the oldest queued records without removing them.
func (t *auditTrail) peekQueue(limit int) []audit.Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.queue[:min(limit, len(t.queue))])
}

// removeBefore removes the queued records below the sequence, which are stored, and
// records how many were dropped since the last call.
func (t *auditTrail) removeBefore(sequence uint64) {
	t.mutex.Lock()
	first := 0
	for first < len(t.queue) && t.queue[first].Sequence < sequence {
		first++
	}
	t.queue = t.queue[first:]
	dropped := t.unreportedDrops
	t.unreportedDrops = 0
	t.mutex.Unlock()
	if dropped > 0 {
		t.node.logEvent(reducer.Log{Code: reducer.CodeAuditDropped, Count: dropped})
		t.node.RecordAudit(reducer.Audit{Kind: reducer.AuditTally, Outcome: "dropped", Count: dropped})
	}
}

// writeQueue writes and syncs the queued records. Only the first of consecutive
// failures is logged.
func (t *auditTrail) writeQueue() {
	records := t.peekQueue(maxQueuedRecords)
	if len(records) == 0 {
		return
	}
	if err := t.writeRecords(records); err != nil {
		if !t.writeFailed {
			t.node.logEvent(reducer.Log{Code: reducer.CodeAuditFailed, Detail: err.Error()})
		}
		t.writeFailed = true
		return
	}
	t.writeFailed = false
	t.removeBefore(records[len(records)-1].Sequence + 1)
}

func (t *auditTrail) writeRecords(records []audit.Record) error {
	t.writerMutex.Lock()
	defer t.writerMutex.Unlock()
	for _, record := range records {
		if err := t.writer.Write(record); err != nil {
			return err
		}
	}
	return t.writer.Sync()
}

// anchorHeads records the last hash of each chain stored on this VM in the replicated
// log, so that records cut off or replaced later are detected.
func (t *auditTrail) anchorHeads() {
	now := t.node.Clock.Now()
	if now.Before(t.nextAnchorAt) {
		return
	}
	t.nextAnchorAt = now.Add(anchorInterval)
	t.writerMutex.Lock()
	heads := t.writer.Heads()
	t.writerMutex.Unlock()
	var command ledger.Command
	for _, head := range heads {
		if t.anchoredSequences[head.Chain] < head.Sequence {
			command.Anchors = append(command.Anchors, ledger.Anchor{Chain: head.Chain, Sequence: head.Sequence, Hash: head.Hash})
		}
	}
	if len(command.Anchors) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), anchorTimeout)
	defer cancel()
	if _, err := t.node.Propose(ctx, command); err != nil {
		return
	}
	for _, anchor := range command.Anchors {
		t.anchoredSequences[anchor.Chain] = anchor.Sequence
	}
}

// shipQueue sends queued records to a control VM and removes those that it
// acknowledges; the others are sent again with the next shipment.
func (t *auditTrail) shipQueue() {
	records := t.peekQueue(maxShipmentRecords)
	peers := t.shipmentPeers()
	if len(records) == 0 || len(peers) == 0 {
		return
	}
	packed, err := t.packer.Pack(records)
	if err != nil {
		t.node.logEvent(reducer.Log{Code: reducer.CodeAuditFailed, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shipTimeout)
	defer cancel()
	var reply peerrpc.ShipReply
	peer := peers[t.failedShipments%len(peers)]
	if err := t.node.Network.Call(ctx, peer, "Ship", &peerrpc.ShipArgs{Packed: packed}, &reply); err != nil {
		t.failedShipments++
		return
	}
	t.removeBefore(reply.Next)
}

// shipmentPeers returns the control VMs to ship to: those of this failure domain,
// because traffic within it costs nothing. If it has none, or after an odd number of
// failed shipments, it returns all control VMs.
func (t *auditTrail) shipmentPeers() []string {
	view := t.node.View()
	if view == nil || t.failedShipments%2 == 1 || len(view.LocalControl) == 0 {
		return t.node.controlPeers()
	}
	return view.LocalControl
}

var errEmptyShipment = errors.New("the shipment holds no records")

// receive stores records of a VM without a disk and acknowledges them after the sync.
func (t *auditTrail) receive(args peerrpc.ShipArgs) (peerrpc.ShipReply, error) {
	if t.writer == nil {
		return peerrpc.ShipReply{}, fmt.Errorf("%s keeps no audit files", t.node.Settings.ID)
	}
	records, err := audit.Unpack(args.Packed)
	if err != nil {
		return peerrpc.ShipReply{}, fmt.Errorf("unpack shipment: %w", err)
	}
	if len(records) == 0 {
		return peerrpc.ShipReply{}, errEmptyShipment
	}
	if err := t.writeRecords(records); err != nil {
		return peerrpc.ShipReply{}, err
	}
	return peerrpc.ShipReply{Next: records[len(records)-1].Sequence + 1}, nil
}

// close records the last request counts, writes the queue and closes the files.
func (t *auditTrail) close() {
	t.nextCountAt = time.Time{}
	t.recordRequestCounts()
	if t.writer == nil {
		return
	}
	t.writeQueue()
	t.writerMutex.Lock()
	defer t.writerMutex.Unlock()
	if err := t.writer.Close(); err != nil {
		t.node.logEvent(reducer.Log{Code: reducer.CodeAuditFailed, Detail: err.Error()})
	}
}

// RecordAudit adds a record to the trail of this VM.
func (n *Node) RecordAudit(entry reducer.Audit) {
	entry.At = n.Clock.Now()
	n.trail.add(entry)
}

// RecentAudit returns up to limit of the latest audit records of this VM, the newest
// last.
func (n *Node) RecentAudit(limit int) []audit.Record {
	n.trail.mutex.Lock()
	defer n.trail.mutex.Unlock()
	recent := n.trail.recent
	return slices.Clone(recent[max(0, len(recent)-limit):])
}
