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
type Batch struct{ Messages []reducer.Message }

// Nothing is an empty reply.
type Nothing struct{}

// ProposeArgs asks the leader to replicate a command.
type ProposeArgs struct{ Command ledger.Command }

// ReadArgs asks the leader for a linearizable read of a section.
type ReadArgs struct{ Section document.Section }

// ChangeArgs asks the leader for a replica change.
type ChangeArgs struct{ Change quorum.Change }

// HistoryArgs asks a control replica for the versions of a section.
type HistoryArgs struct{ Section document.Section }

// HistoryReply holds the versions, oldest first.
type HistoryReply struct{ Versions []ledger.Version }

// AskArgs asks the owner of a service for a slot.
type AskArgs struct{ Ask dispatch.SlotRequest }

// AnnounceArgs passes a backend server's announcement on to the owner.
type AnnounceArgs struct {
	Announcement routing.Announcement
	Gone         bool
}

// ShipArgs brings audit records of a VM without a disk.
type ShipArgs struct{ Packed []byte } // by audit.Packer

// ShipReply acknowledges records that are synced.
type ShipReply struct{ Next uint64 }

// Handler serves the calls of peers.
type Handler interface {
	// Deliver takes one-way messages.
	Deliver(messages []reducer.Message)
	// Propose replicates a command if this VM leads.
	Propose(command ledger.Command) reducer.ProposalResult
	// Change alters the replicas if this VM leads.
	Change(change quorum.Change) reducer.ProposalResult
	// Read reads a section if this VM leads.
	Read(section document.Section) reducer.ReadResult
	// History lists the versions of a section that this replica holds.
	History(section document.Section) []ledger.Version
	// Ask waits for a slot.
	Ask(ask dispatch.SlotRequest) dispatch.Answer
	// Announce takes a forwarded announcement.
	Announce(announcement routing.Announcement, gone bool) reducer.AnnouncementResult
	// Ship stores audit records.
	Ship(args ShipArgs) (ShipReply, error)
}
