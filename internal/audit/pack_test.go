package audit

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/reducer"
)

// Unpacked records equal those that were packed, their hashes are valid, and the packed
// form takes at most a third of the bytes of the JSON.
func TestPack(t *testing.T) {
	var records []Record
	previousHash := ""
	for i := range 100 {
		record, err := HashRecord(Record{Chain: ChainName("edge-a-1", 1), Sequence: uint64(i), Before: previousHash, Entry: reducer.Audit{
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
		records, previousHash = append(records, record), record.Hash
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
		t.Error("unpacked records differ from the packed ones")
	}
	for _, record := range unpacked {
		hashed, err := HashRecord(record)
		if err != nil {
			t.Fatal(err)
		}
		if hashed.Hash != record.Hash {
			t.Fatalf("hash of record %d is not valid", record.Sequence)
		}
	}
	encoded, err := json.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("packed %d bytes; JSON %d bytes", len(packed), len(encoded))
	if 3*len(packed) > len(encoded) {
		t.Errorf("packed to %d of %d bytes, want a third at most", len(packed), len(encoded))
	}
}

// Unpack returns an error for data that Pack did not produce.
func TestUnpackRejectsInvalidData(t *testing.T) {
	packed, err := new(Packer).Pack([]Record{{Chain: "c"}})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string][]byte{
		"empty":          nil,
		"not compressed": []byte("no shipment"),
		"truncated":      packed[:len(packed)/2],
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if records, err := Unpack(data); err == nil {
				t.Errorf("got %d records from invalid data", len(records))
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
