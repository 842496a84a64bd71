package reducer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/dispatch"
	"github.com/heatherwood/heatherwood/internal/member"
	"github.com/heatherwood/heatherwood/internal/quarantine"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/roster"
	"github.com/heatherwood/heatherwood/pkg/document"
)

func repeated[T any](count int, element func(i int) T) []T {
	var elements []T
	for i := range count {
		elements = append(elements, element(i))
	}
	return elements
}

func TestEstimatedBytesAreNearTheEncoded(t *testing.T) {
	const large = 100 << 10
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	closures := repeated(500, func(i int) document.Closure {
		return document.Closure{Kind: "server", Name: fmt.Sprintf("payments-%d", i), Start: now.UnixMilli()}
	})
	tests := map[string]Message{
		"heartbeat":      {Quorum: &quorum.Message{From: "c1", To: "c2", Term: 3, Index: 900, Round: 7}},
		"entry":          {Quorum: &quorum.Message{Entries: []quorum.Entry{{Index: 9, Data: make([]byte, large)}}}},
		"snapshot chunk": {Quorum: &quorum.Message{Piece: quorum.SnapshotChunk{Data: make([]byte, large)}}},
		"gossip": {Gossip: &member.Gossip{VMs: repeated(20, func(i int) member.VM {
			return member.VM{ID: fmt.Sprintf("edge-%d", i), Peer: "10.0.0.1:7540", Entry: "10.0.0.1:8080", Domain: "alder-1", Region: "alder", Incarnation: 1767323045, Services: []dispatch.Summary{{Service: "payments", Capacity: 30, InUse: 12, Mean: time.Second, Rate: 1.7, Servers: 9}}}
		}), Domains: repeated(20, func(i int) member.Domain {
			return member.Domain{Name: fmt.Sprintf("alder-%d", i), Region: "alder", Version: 99, VMs: 9, Roster: 1 << 60, Entries: []member.EntryRef{{ID: "edge-1"}, {ID: "edge-2"}}}
		})}},
		"server records": {Servers: &ServerUpdate{Records: repeated(300, func(i int) roster.Record {
			return roster.Record{ID: fmt.Sprintf("payments-%d", i), Service: "payments", Address: "10.0.0.9:8080", Domain: "alder-1", Slots: 8, Start: now.UnixMilli(), Sequence: 12}
		})}},
		"server index": {Index: &ServerIndex{Known: repeated(300, func(i int) roster.IndexEntry {
			return roster.IndexEntry{Name: uint64(i+1) << 55, Hash: 1<<62 + uint64(i)}
		})}},
		"document update": {Spread: &DocumentUpdate{Sections: []SectionPatch{{Middle: make([]byte, large)}}}},
		"document part":   {Part: &DocumentPart{Data: make([]byte, large)}},
		"document offer":  {Offer: &DocumentOffer{Closed: closures}},
		"closures":        {Closures: &ClosureUpdate{Closures: closures}},
		"quarantine": {Bar: &QuarantineUpdate{Entries: repeated(300, func(i int) quarantine.Entry {
			return quarantine.Entry{Fingerprint: 1<<60 + uint64(i), Deaths: 2, Since: now, Until: now}
		})}},
		"handover": {Handover: &dispatch.Handover{Tickets: repeated(300, func(i int) dispatch.HandedTicket {
			return dispatch.HandedTicket{Ticket: 1<<40 + uint64(i), Server: "payments-7", From: "edge-3", Rank: 2, Remaining: time.Second, Fingerprint: 1 << 60}
		})}},
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			var buffer bytes.Buffer
			encoder := gob.NewEncoder(&buffer)
			// The first message of a connection also describes its types.
			for range 2 {
				buffer.Reset()
				if err := encoder.Encode(message); err != nil {
					t.Fatal(err)
				}
			}
			encoded, estimated := buffer.Len(), message.EstimatedBytes()
			if estimated < encoded/2 || estimated > 2*encoded+100 {
				t.Errorf("estimated %d bytes, encoded %d", estimated, encoded)
			}
		})
	}
}
