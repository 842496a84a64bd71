package member

import (
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Heartbeats is an encoded list of heartbeats of heartbeatBytes each. It is
// compact because it is most of what VMs of a failure domain send each other.
type Heartbeats []byte

const heartbeatBytes = 12

func heartbeatOf(vm VM) Heartbeat {
	return Heartbeat{
		IDHash:      uint32(xxhash.Sum64String(vm.ID)),
		Incarnation: uint32(vm.Incarnation),
		Counter:     uint32(vm.Counter),
	}
}

func (b Heartbeats) add(heartbeat Heartbeat) Heartbeats {
	b = binary.LittleEndian.AppendUint32(b, heartbeat.IDHash)
	b = binary.LittleEndian.AppendUint32(b, heartbeat.Incarnation)
	return binary.LittleEndian.AppendUint32(b, heartbeat.Counter)
}

// all decodes the heartbeats and ignores an incomplete last one.
func (b Heartbeats) all() iter.Seq[Heartbeat] {
	return func(yield func(Heartbeat) bool) {
		for rest := b; len(rest) >= heartbeatBytes; rest = rest[heartbeatBytes:] {
			heartbeat := Heartbeat{
				IDHash:      binary.LittleEndian.Uint32(rest),
				Incarnation: binary.LittleEndian.Uint32(rest[4:]),
				Counter:     binary.LittleEndian.Uint32(rest[8:]),
			}
			if !yield(heartbeat) {
				return
			}
		}
	}
}
