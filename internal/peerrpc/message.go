package peerrpc

import (
	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/ledger"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/reducer"
	"github.com/heatherwood/heatherwood/internal/routing"
	"github.com/heatherwood/heatherwood/pkg/document"
)

// Batch is a group of one-way messages.
type Batch struct {
	Messages []reducer.Message

	// Stream identifies the sender and its start, and Sequence rises with each batch of the
	// stream; one that is not above the last is a repeat. To save bytes, the stream is sent
	// with the first batch of a connection, and the sequence where it does not follow that
	// of the batch before. VMs of earlier releases send neither.
	Stream   uint64
	Sequence uint64
}

// Empty is an empty reply.
type Empty struct{}

// ProposeArgs asks the leader to replicate a command.
type ProposeArgs struct {
	Command ledger.Command
	Fence   ledger.Fence // of a closure of a failure domain
}

// ReadArgs asks the leader for a linearizable read of a section.
type ReadArgs struct{ Section document.Section }

// ChangeArgs asks the leader to change the replica set.
type ChangeArgs struct{ Change quorum.Change }

// HistoryArgs asks a control replica for the versions of a section.
type HistoryArgs struct{ Section document.Section }

// HistoryReply holds the versions of a section, oldest first.
type HistoryReply struct{ Versions []ledger.Version }

// AskArgs asks the owner of a service for a slot.
type AskArgs struct{ Ask dispatch.SlotRequest }

// AnnounceArgs forwards a backend server's announcement to the owner of the service.
type AnnounceArgs struct {
	Announcement routing.Announcement
	Gone         bool // the server leaves
}

// ShipArgs carries audit records of a VM without a disk.
type ShipArgs struct{ Packed []byte } // encoded by audit.Packer

// ShipReply acknowledges records that are synced to disk.
type ShipReply struct{ Next uint64 } // sequence after the last synced record

// Handler serves calls from peers.
type Handler interface {
	// Deliver handles a batch of one-way messages.
	Deliver(messages []reducer.Message)
	// Propose replicates a command if this VM is the control leader.
	Propose(command ledger.Command, fence ledger.Fence) reducer.ProposalResult
	// Change changes the replica set if this VM is the control leader.
	Change(change quorum.Change) reducer.ProposalResult
	// Read reads a section if this VM is the control leader.
	Read(section document.Section) reducer.ReadResult
	// History returns the versions of a section that this replica holds.
	History(section document.Section) []ledger.Version
	// Ask requests a slot and waits for the answer.
	Ask(request dispatch.SlotRequest) dispatch.Answer
	// Announce applies a forwarded announcement; withdrawn means that the server leaves.
	Announce(announcement routing.Announcement, withdrawn bool) reducer.AnnouncementResult
	// Ship stores audit records and returns once they are synced.
	Ship(args ShipArgs) (ShipReply, error)
}
