package disk

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/heatherwood/heatherwood/internal/quorum"
)

var bootstrap = quorum.Snapshot{Config: quorum.Config{Voters: []quorum.Replica{{ID: "a"}}}}

func entrySave(term, index uint64, text string) quorum.Save {
	return quorum.Save{
		Hard:    quorum.HardState{Term: term},
		Entries: []quorum.Entry{{Index: index, Term: term, Data: []byte(text)}},
	}
}

func mustOpen(t *testing.T, files Files) (*Store, quorum.DurableState) {
	t.Helper()
	store, restart, err := OpenStore(files, bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	return store, restart
}

func filled(t *testing.T, entries int) *MemoryFiles {
	t.Helper()
	files := NewMemoryFiles()
	store, _ := mustOpen(t, files)
	for i := range entries {
		if err := store.Save([]quorum.Save{entrySave(1, uint64(i+1), fmt.Sprint("entry ", i+1))}); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func TestRestartAfterManyChanges(t *testing.T) {
	files := NewMemoryFiles()
	store, _ := mustOpen(t, files)
	store.SegmentBytes = 2000
	const changes = 2500
	for i := uint64(1); i <= changes; i++ {
		if err := store.Save([]quorum.Save{entrySave(3, i, "x")}); err != nil {
			t.Fatal(err)
		}
		if i == 2000 {
			snapshot := &quorum.Snapshot{Index: i, Term: 3, Config: bootstrap.Config, Data: []byte("state")}
			if err := store.Save([]quorum.Save{{Hard: quorum.HardState{Term: 3}, Snapshot: snapshot}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	files.Crash()
	_, restart := mustOpen(t, files)
	if restart.Snapshot.Index != 2000 || len(restart.Entries) != 500 || restart.Hard.Term != 3 {
		t.Errorf("got snapshot %d, %d entries, term %d", restart.Snapshot.Index, len(restart.Entries), restart.Hard.Term)
	}
}

func TestTornTailIsCut(t *testing.T) {
	for cut := 1; cut < 40; cut += 3 {
		files := filled(t, 3)
		files.Cut(segmentName(1), cut)
		_, restart := mustOpen(t, files)
		if len(restart.Entries) != 2 {
			t.Errorf("cut %d bytes: %d entries, want 2", cut, len(restart.Entries))
		}
	}
}

func TestDamageInTheMiddleIsRefused(t *testing.T) {
	files := filled(t, 3)
	files.Flip(segmentName(1), headerBytes+4)
	_, _, err := OpenStore(files, bootstrap)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || corrupt.File != segmentName(1) {
		t.Errorf("got %v, want a CorruptError for %s", err, segmentName(1))
	}
}

func TestConflictingTailIsReplaced(t *testing.T) {
	files := filled(t, 3)
	store, _ := mustOpen(t, files)
	if err := store.Save([]quorum.Save{entrySave(2, 2, "other")}); err != nil {
		t.Fatal(err)
	}
	files.Crash()
	_, restart := mustOpen(t, files)
	if len(restart.Entries) != 2 || string(restart.Entries[1].Data) != "other" {
		t.Errorf("got %+v", restart.Entries)
	}
}

func TestStoreRefusesAfterFailedSync(t *testing.T) {
	files := filled(t, 1)
	store, _ := mustOpen(t, files)
	files.SyncError = errors.New("no space left on device")
	if err := store.Save([]quorum.Save{entrySave(1, 2, "lost")}); err == nil {
		t.Fatal("save with a failed sync was acknowledged")
	}
	files.SyncError = nil
	if err := store.Save([]quorum.Save{entrySave(1, 2, "late")}); err == nil {
		t.Error("save after a failed sync was acknowledged")
	}
}

func TestSecondProcessIsRefused(t *testing.T) {
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

func TestRealFolder(t *testing.T) {
	folder, err := OpenFolder(filepath.Join(t.TempDir(), "data"))
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	store, _ := mustOpen(t, folder)
	if err := store.Save([]quorum.Save{entrySave(1, 1, "x")}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	_, restart := mustOpen(t, folder)
	if len(restart.Entries) != 1 {
		t.Errorf("%d entries, want 1", len(restart.Entries))
	}
}

func FuzzReadSegment(f *testing.F) {
	f.Add([]byte("not a record"))
	f.Add(frame([]byte{0x80}))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := NewMemoryFiles()
		file, _ := files.Create(segmentName(1))
		file.Write(data)
		OpenStore(files, bootstrap)
	})
}
