package plan

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherwood/heatherwood/pkg/document"
)

// NoPlace is the place of an address outside all blocks.
const NoPlace = -1

// Blocks maps addresses to places. Nested blocks are flattened into intervals:
// interval i runs from starts[i] to starts[i+1]. Example: 10.0.0.0/8 in A
// with 10.1.0.0/16 in B becomes 10.0.0.0 A, 10.1.0.0 B, 10.2.0.0 A, 11.0.0.0
// none.
type Blocks struct {
	starts4 []uint32
	places4 []int16
	index4  []uint32 // by upper half of an address: number of intervals that start before it
	starts6 []uint128
	places6 []int16
}

// uint128 is an IPv6 address as two 64-bit numbers.
type uint128 struct{ hi, lo uint64 }

func (w uint128) compare(other uint128) int {
	return cmp.Or(cmp.Compare(w.hi, other.hi), cmp.Compare(w.lo, other.lo))
}

func (w uint128) next() uint128 {
	w.lo++
	if w.lo == 0 {
		w.hi++
	}
	return w
}

func toUint128(address netip.Addr) uint128 {
	bytes := address.As16()
	return uint128{hi: binary.BigEndian.Uint64(bytes[:8]), lo: binary.BigEndian.Uint64(bytes[8:])}
}

type placeBlock struct {
	first, last uint128
	bits        int // prefix length; of blocks with the same start, the shorter is outer
	place       int16
}

// NewBlocks builds the table; a place is identified by its index in places.
func NewBlocks(places []document.Place) *Blocks {
	var v4, v6 []placeBlock
	for number, place := range places {
		for _, block := range place.Blocks {
			placed := placeBlock{
				first: toUint128(block.Addr()),
				last:  toUint128(lastAddress(block)),
				bits:  block.Bits(),
				place: int16(number),
			}
			if block.Addr().Is4() {
				v4 = append(v4, placed)
			} else {
				v6 = append(v6, placed)
			}
		}
	}
	b := &Blocks{}
	for _, interval := range flatten(v4) {
		if interval.start.compare(endIPv4) >= 0 {
			break
		}
		b.starts4 = append(b.starts4, uint32(interval.start.lo))
		b.places4 = append(b.places4, interval.place)
	}
	for _, interval := range flatten(v6) {
		b.starts6 = append(b.starts6, interval.start)
		b.places6 = append(b.places6, interval.place)
	}
	b.starts4, b.places4 = slices.Clip(b.starts4), slices.Clip(b.places4)
	b.starts6, b.places6 = slices.Clip(b.starts6), slices.Clip(b.places6)
	b.buildIndex()
	return b
}

// endIPv4 is the number after the last IPv4 address in its 16-byte form.
var endIPv4 = toUint128(netip.AddrFrom4([4]byte{255, 255, 255, 255})).next()

func lastAddress(block netip.Prefix) netip.Addr {
	bytes := block.Addr().As16()
	offset := 0
	if block.Addr().Is4() {
		offset = 96 // bits before an IPv4 address in its 16-byte form
	}
	for bit := offset + block.Bits(); bit < 128; bit++ {
		bytes[bit/8] |= 1 << (7 - bit%8)
	}
	return netip.AddrFrom16(bytes)
}

type interval struct {
	start uint128
	place int16
}

// flatten turns nested blocks into intervals. It goes through the blocks by
// start, outer before inner, with a stack of the blocks that contain the current
// address.
func flatten(blocks []placeBlock) []interval {
	slices.SortFunc(blocks, func(a, b placeBlock) int {
		return cmp.Or(a.first.compare(b.first), cmp.Compare(a.bits, b.bits))
	})
	var intervals []interval
	var open []placeBlock
	place := func() int16 {
		if len(open) == 0 {
			return NoPlace
		}
		return open[len(open)-1].place
	}
	closeBefore := func(next *uint128) {
		for len(open) > 0 && (next == nil || open[len(open)-1].last.compare(*next) < 0) {
			after := open[len(open)-1].last.next()
			open = open[:len(open)-1]
			intervals = appendInterval(intervals, interval{start: after, place: place()})
		}
	}
	for i := range blocks {
		closeBefore(&blocks[i].first)
		open = append(open, blocks[i])
		intervals = appendInterval(intervals, interval{start: blocks[i].first, place: place()})
	}
	closeBefore(nil)
	return intervals
}

// appendInterval appends next, or replaces the last interval if both start at
// the same address.
func appendInterval(intervals []interval, next interval) []interval {
	if last := len(intervals) - 1; last >= 0 && intervals[last].start == next.start {
		intervals[last] = next
		return intervals
	}
	return append(intervals, next)
}

const index4Size = 1<<16 + 1

func (b *Blocks) buildIndex() {
	b.index4 = make([]uint32, index4Size)
	at := 0
	for upper := range index4Size {
		for at < len(b.starts4) && uint64(b.starts4[at]) < uint64(upper)<<16 {
			at++
		}
		b.index4[upper] = uint32(at)
	}
}

// Lengths of the address prefixes that are placed as a unit. Blocks can be far
// larger, and one block must not send all its clients to one domain.
const (
	unitBitsIPv4 = 24
	unitBitsIPv6 = 56
)

// Find returns the place of an address, or NoPlace, and the hash of its
// placement unit, a /24 or /56.
func (b *Blocks) Find(address netip.Addr) (place int, hash uint64) {
	address = address.Unmap()
	if address.Is4() {
		return b.find4(address)
	}
	w := toUint128(address)
	hash = hashUint128(uint128{hi: w.hi >> (64 - unitBitsIPv6)})
	at, found := slices.BinarySearchFunc(b.starts6, w, uint128.compare)
	if !found {
		at--
	}
	if at < 0 {
		return NoPlace, hash
	}
	return int(b.places6[at]), hash
}

func (b *Blocks) find4(address netip.Addr) (int, uint64) {
	bytes := address.As4()
	value := binary.BigEndian.Uint32(bytes[:])
	hash := hashUint128(uint128{lo: uint64(value >> (32 - unitBitsIPv4))})
	low, high := b.index4[value>>16], b.index4[value>>16+1]
	for low < high {
		middle := (low + high) / 2
		if b.starts4[middle] <= value {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return NoPlace, hash
	}
	return int(b.places4[low-1]), hash
}

func hashUint128(w uint128) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:8], w.hi)
	binary.LittleEndian.PutUint64(bytes[8:], w.lo)
	return xxhash.Sum64(bytes[:])
}

// Bytes returns the size of the table in bytes.
func (b *Blocks) Bytes() int {
	const bytes4, bytes6, indexBytes = 4 + 2, 16 + 2, 4
	return len(b.starts4)*bytes4 + len(b.starts6)*bytes6 + len(b.index4)*indexBytes
}

// Len returns the number of intervals.
func (b *Blocks) Len() int { return len(b.starts4) + len(b.starts6) }
