package disk

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

var bootstrapSnapshot = quorum.Snapshot{Config: quorum.Config{Voters: []quorum.Replica{{ID: "a"}}}}

func newEntrySave(term, index uint64, text string) quorum.Save {
	return quorum.Save{
		Hard:    quorum.HardState{Term: term},
		Entries: []quorum.Entry{{Index: index, Term: term, Data: []byte(text)}},
	}
}

func mustOpenStore(t *testing.T, files Files) (*Store, quorum.DurableState) {
	t.Helper()
	store, durable, err := OpenStore(files, bootstrapSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	return store, durable
}

// newFilledFiles returns files with a log of the given number of entries, each in a
// record of its own.
func newFilledFiles(t *testing.T, entries int) *MemoryFiles {
	t.Helper()
	files := NewMemoryFiles()
	store, _ := mustOpenStore(t, files)
	for i := range entries {
		if err := store.Save([]quorum.Save{newEntrySave(1, uint64(i+1), fmt.Sprint("entry ", i+1))}); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// After a crash with many segments and a snapshot, the store restores the snapshot and
// all entries after it.
func TestRestartAfterManyChanges(t *testing.T) {
	files := NewMemoryFiles()
	store, _ := mustOpenStore(t, files)
	store.MaxSegmentBytes = 2000
	const changes = 2500
	for i := uint64(1); i <= changes; i++ {
		if err := store.Save([]quorum.Save{newEntrySave(3, i, "x")}); err != nil {
			t.Fatal(err)
		}
		if i == 2000 {
			snapshot := &quorum.Snapshot{Index: i, Term: 3, Config: bootstrapSnapshot.Config, Data: []byte("state")}
			if err := store.Save([]quorum.Save{{Hard: quorum.HardState{Term: 3}, Snapshot: snapshot}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	files.Crash()
	_, durable := mustOpenStore(t, files)
	if durable.Snapshot.Index != 2000 || len(durable.Entries) != 500 || durable.Hard.Term != 3 {
		t.Errorf("got snapshot %d, %d entries, term %d", durable.Snapshot.Index, len(durable.Entries), durable.Hard.Term)
	}
}

// A last record that a crash left incomplete is removed, and the store opens without
// it.
func TestTornLastWriteIsCut(t *testing.T) {
	for cut := 1; cut < 40; cut += 3 {
		files := newFilledFiles(t, 3)
		files.CutEnd(segmentName(1), cut)
		_, durable := mustOpenStore(t, files)
		if len(durable.Entries) != 2 {
			t.Errorf("cut %d bytes: %d entries, want 2", cut, len(durable.Entries))
		}
	}
}

// A damaged record with valid records after it is an error: to cut it off would lose
// acknowledged entries.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	files := newFilledFiles(t, 3)
	files.FlipByte(segmentName(1), headerBytes+4)
	_, _, err := OpenStore(files, bootstrapSnapshot)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || corrupt.File != segmentName(1) {
		t.Errorf("got %v, want a CorruptError for %s", err, segmentName(1))
	}
}

// Entries that a new leader replaced do not return after a restart.
func TestConflictingTailIsReplaced(t *testing.T) {
	files := newFilledFiles(t, 3)
	store, _ := mustOpenStore(t, files)
	if err := store.Save([]quorum.Save{newEntrySave(2, 2, "other")}); err != nil {
		t.Fatal(err)
	}
	files.Crash()
	_, durable := mustOpenStore(t, files)
	if len(durable.Entries) != 2 || string(durable.Entries[1].Data) != "other" {
		t.Errorf("got %+v", durable.Entries)
	}
}

// A save after a failed sync is refused even if the disk accepts writes again, because
// the entries of the failed save may be missing from the disk.
func TestStoreRefusesSavesAfterFailedSync(t *testing.T) {
	files := newFilledFiles(t, 1)
	store, _ := mustOpenStore(t, files)
	files.SyncError = errors.New("no space left on device")
	if err := store.Save([]quorum.Save{newEntrySave(1, 2, "lost")}); err == nil {
		t.Fatal("save with a failed sync was acknowledged")
	}
	files.SyncError = nil
	if err := store.Save([]quorum.Save{newEntrySave(1, 2, "late")}); err == nil {
		t.Error("save after a failed sync was acknowledged")
	}
}

// Two processes cannot open the same data folder.
func TestSecondLockIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	if second, err := OpenFolder(path); err == nil {
		second.Close()
		t.Error("a second lock on the folder was granted")
	}
}

// The store restores its entries from files of the operating system, and not only from
// MemoryFiles.
func TestStoreInRealFolder(t *testing.T) {
	folder, err := OpenFolder(filepath.Join(t.TempDir(), "data"))
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	store, _ := mustOpenStore(t, folder)
	if err := store.Save([]quorum.Save{newEntrySave(1, 1, "x")}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	_, durable := mustOpenStore(t, folder)
	if len(durable.Entries) != 1 {
		t.Errorf("%d entries, want 1", len(durable.Entries))
	}
}

// No content of a segment makes OpenStore panic.
func FuzzReadSegment(f *testing.F) {
	f.Add([]byte("not a record"))
	f.Add(encodeRecord([]byte{0x80}))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := NewMemoryFiles()
		file, _ := files.Create(segmentName(1))
		file.Write(data)
		OpenStore(files, bootstrapSnapshot)
	})
}
