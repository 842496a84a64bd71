package member

import (
	"encoding/binary"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Heartbeats is a list of heartbeats in a compact form: most of what VMs of a failure
// domain send each other is this list.
type Heartbeats []byte

const beatBytes = 12

func beatOf(vm VM) Heartbeat {
	return Heartbeat{
		Name:        uint32(xxhash.Sum64String(vm.ID)),
		Incarnation: uint32(vm.Incarnation),
		Counter:     uint32(vm.Counter),
	}
}

func (b Heartbeats) add(beat Heartbeat) Heartbeats {
	b = binary.LittleEndian.AppendUint32(b, beat.Name)
	b = binary.LittleEndian.AppendUint32(b, beat.Incarnation)
	return binary.LittleEndian.AppendUint32(b, beat.Counter)
}

// all yields the heartbeats; bytes beyond the last whole one are ignored.
func (b Heartbeats) all() iter.Seq[Heartbeat] {
	return func(yield func(Heartbeat) bool) {
		for rest := b; len(rest) >= beatBytes; rest = rest[beatBytes:] {
			beat := Heartbeat{
				Name:        binary.LittleEndian.Uint32(rest),
				Incarnation: binary.LittleEndian.Uint32(rest[4:]),
				Counter:     binary.LittleEndian.Uint32(rest[8:]),
			}
			if !yield(beat) {
				return
			}
		}
	}
}
