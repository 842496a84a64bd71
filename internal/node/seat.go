package node

import (
	"fmt"
	"slices"

	"github.com/google/uuid"

	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/settings"
)

const seatFile = "seat"

// takeSeat finds or makes the id of the control replica. The id lives and dies
// with the disk: a replica that lost its disk comes back under another one, so
// that it never votes on what it has forgotten.
func (n *Node) takeSeat(folder *disk.Folder, first *quorum.Snapshot) error {
	names, err := folder.Names()
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	if slices.Contains(names, seatFile) {
		text, err := folder.Read(seatFile)
		if err != nil {
			return fmt.Errorf("read replica id: %w", err)
		}
		n.replica = string(text)
	}
	original := slices.ContainsFunc(n.Settings.Replicas, func(r settings.Replica) bool { return r.ID == n.Settings.Peer })
	if n.replica == "" {
		n.replica = n.Settings.Peer
		if !n.Settings.First || !original {
			n.replica += "/" + uuid.NewString()
		}
		if err := writeSeat(folder, n.replica); err != nil {
			return err
		}
	}
	if n.replica != n.Settings.Peer {
		// A newcomer learns the replica set from the leader.
		first.Config = quorum.Config{}
	}
	return nil
}

func writeSeat(folder *disk.Folder, id string) error {
	const temporary = seatFile + ".tmp"
	file, err := folder.Create(temporary)
	if err != nil {
		return fmt.Errorf("create replica id: %w", err)
	}
	if _, err := file.Write([]byte(id)); err != nil {
		file.Close()
		return fmt.Errorf("write replica id: %w", err)
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return fmt.Errorf("sync replica id: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close replica id: %w", err)
	}
	if err := folder.Rename(temporary, seatFile); err != nil {
		return fmt.Errorf("rename replica id: %w", err)
	}
	return folder.SyncFolder()
}
