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

var errFull = errors.New("no space left on device")

// fullDisk refuses writes while it is full.
type fullDisk struct {
	disk.Files
	full atomic.Bool
}

type fullFile struct {
	disk.File
	disk *fullDisk
}

func (d *fullDisk) Create(name string) (disk.File, error) {
	if d.full.Load() {
		return nil, errFull
	}
	file, err := d.Files.Create(name)
	return &fullFile{file, d}, err
}

func (d *fullDisk) Append(name string, size int64) (disk.File, error) {
	file, err := d.Files.Append(name, size)
	return &fullFile{file, d}, err
}

func (f *fullFile) Write(data []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, errFull
	}
	return f.File.Write(data)
}

// A replica whose disk was full takes part again once it has room, without a
// restart, and has lost nothing that was acknowledged.
func TestReplicaOutlivesAFullDisk(t *testing.T) {
	nodes := replicas(t, 3)
	full := &fullDisk{Files: nodes[0].saver.files}
	nodes[0].saver.files = full
	store, _, err := disk.OpenStore(full, nodes[0].saver.first)
	if err != nil {
		t.Fatal(err)
	}
	nodes[0].saver.store = store
	startAll(t, nodes)
	put := func(number uint64) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := nodes[1].PutEdition(ctx, ledger.Edition{Number: number, Source: []byte("text")})
		return err
	}
	if err := put(1); err != nil {
		t.Fatal(err)
	}
	full.full.Store(true)
	if err := put(2); err != nil {
		t.Fatalf("with one full disk: %v", err)
	}
	full.full.Store(false)
	nodes[2].Stop()
	if err := put(3); err != nil {
		t.Fatalf("the replica with the full disk is needed again: %v", err)
	}
	read, err := nodes[0].ReadSection(context.Background(), ledger.EditionSection)
	if err != nil || read.Section.Version != 3 {
		t.Errorf("reads edition %d, %v; want 3", read.Section.Version, err)
	}
}
