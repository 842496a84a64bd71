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
	original := slices.ContainsFunc(n.Settings.InitialReplicas, func(r settings.Replica) bool { return r.ID == n.Settings.Peer })
	if n.replica == "" {
		n.replica = n.Settings.Peer
		if !n.Settings.Bootstrap || !original {
			n.replica += "/" + uuid.NewString()
		}
		if err := disk.WriteAtomic(folder, seatFile, []byte(n.replica)); err != nil {
			return fmt.Errorf("keep replica id: %w", err)
		}
	}
	if n.replica != n.Settings.Peer {
		// A newcomer learns the replica set from the leader.
		first.Config = quorum.Config{}
	}
	return nil
}
