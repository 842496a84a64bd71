package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/ledger"
)

var errDiskFull = errors.New("no space left on device")

// fullDisk fails all writes while isFull is set.
type fullDisk struct {
	disk.Files
	isFull atomic.Bool
}

type fullFile struct {
	disk.File
	disk *fullDisk
}

func (d *fullDisk) Create(name string) (disk.File, error) {
	if d.isFull.Load() {
		return nil, errDiskFull
	}
	file, err := d.Files.Create(name)
	return &fullFile{file, d}, err
}

func (d *fullDisk) Append(name string, size int64) (disk.File, error) {
	file, err := d.Files.Append(name, size)
	return &fullFile{file, d}, err
}

func (f *fullFile) Write(data []byte) (int, error) {
	if f.disk.isFull.Load() {
		return 0, errDiskFull
	}
	return f.File.Write(data)
}

// A replica whose disk was full takes part again without a restart once the disk has
// space, and has lost nothing that was acknowledged.
func TestReplicaRecoversFromFullDisk(t *testing.T) {
	nodes := newReplicas(t, 3)
	files := &fullDisk{Files: nodes[0].logWriter.files}
	nodes[0].logWriter.files = files
	store, _, err := disk.OpenStore(files, nodes[0].logWriter.bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	nodes[0].logWriter.store = store
	startReplicas(t, nodes)
	putEdition := func(number uint64) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := nodes[1].PutEdition(ctx, ledger.Edition{Number: number, Source: []byte("text")})
		return err
	}
	if err := putEdition(1); err != nil {
		t.Fatal(err)
	}
	files.isFull.Store(true)
	if err := putEdition(2); err != nil {
		t.Fatalf("edition 2 with one full disk: %v", err)
	}
	files.isFull.Store(false)
	nodes[2].Stop()
	if err := putEdition(3); err != nil {
		t.Fatalf("edition 3 needs the replica whose disk was full: %v", err)
	}
	result, err := nodes[0].ReadSection(context.Background(), ledger.EditionSection)
	if err != nil || result.Section.Version != 3 {
		t.Errorf("reads edition %d, %v; want 3", result.Section.Version, err)
	}
}
