package audit

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Records come out as they went in, with hashes that hold, in a third of the bytes.
func TestPack(t *testing.T) {
	var records []Record
	before := ""
	for i := range 100 {
		record, err := Seal(Record{Chain: ChainName("edge-a-1", 1), Sequence: uint64(i), Before: before, Entry: reducer.Audit{
			Kind:    reducer.AuditTally,
			At:      time.Date(2026, 1, 2, 3, 4, i%60, 0, time.UTC),
			Service: "payments",
			Outcome: "answered",
			Server:  fmt.Sprintf("server-%d", i%7),
			Count:   int64(i),
		}})
		if err != nil {
			t.Fatal(err)
		}
		records, before = append(records, record), record.Hash
	}
	var packer Packer
	if _, err := packer.Pack(records[:7]); err != nil {
		t.Fatal(err)
	}
	packed, err := packer.Pack(records)
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := Unpack(packed)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(unpacked, records) {
		t.Error("records differ after the way")
	}
	for _, record := range unpacked {
		sealed, err := Seal(record)
		if err != nil {
			t.Fatal(err)
		}
		if sealed.Hash != record.Hash {
			t.Fatalf("hash of record %d does not hold", record.Sequence)
		}
	}
	plain, err := json.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes of %d", len(packed), len(plain))
	if 3*len(packed) > len(plain) {
		t.Errorf("packed to %d of %d bytes, want a third at most", len(packed), len(plain))
	}
}

// What is no shipment is refused.
func TestUnpackRefuses(t *testing.T) {
	whole, err := new(Packer).Pack([]Record{{Chain: "c"}})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string][]byte{
		"nothing":   nil,
		"noise":     []byte("no shipment"),
		"cut short": whole[:len(whole)/2],
	}
	for name, packed := range tests {
		t.Run(name, func(t *testing.T) {
			if records, err := Unpack(packed); err == nil {
				t.Errorf("unpacked to %d records", len(records))
			}
		})
	}
}

func BenchmarkPack(b *testing.B) {
	records := make([]Record, 100)
	for i := range records {
		records[i] = Record{Chain: "edge-a-1.1", Sequence: uint64(i), Entry: reducer.Audit{Kind: reducer.AuditTally, Server: fmt.Sprint(i % 7)}}
	}
	var packer Packer
	b.ReportAllocs()
	for b.Loop() {
		if _, err := packer.Pack(records); err != nil {
			b.Fatal(err)
		}
	}
}
