package node

import (
	"fmt"
	"slices"

	"github.com/google/uuid"

	"github.com/heatherwood/heatherwood/internal/disk"
	"github.com/heatherwood/heatherwood/internal/quorum"
	"github.com/heatherwood/heatherwood/internal/settings"
)

const replicaIDFile = "seat" // file with the id of the control replica

// loadReplicaID reads the id of the control replica from the data folder, or creates
// and stores one. A replica that lost its disk returns under a new id: under the old
// one it could vote again in a term whose vote it no longer remembers.
func (n *Node) loadReplicaID(folder *disk.Folder, bootstrap *quorum.Snapshot) error {
	names, err := folder.Names()
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	if slices.Contains(names, replicaIDFile) {
		text, err := folder.Read(replicaIDFile)
		if err != nil {
			return fmt.Errorf("read replica id: %w", err)
		}
		n.replicaID = string(text)
	}
	isInitialReplica := slices.ContainsFunc(n.Settings.InitialReplicas, func(r settings.Replica) bool { return r.ID == n.Settings.Peer })
	if n.replicaID == "" {
		n.replicaID = n.Settings.Peer
		if !n.Settings.Bootstrap || !isInitialReplica {
			n.replicaID += "/" + uuid.NewString()
		}
		if err := disk.WriteAtomic(folder, replicaIDFile, []byte(n.replicaID)); err != nil {
			return fmt.Errorf("store replica id: %w", err)
		}
	}
	if n.replicaID != n.Settings.Peer {
		// A replica added later learns the replica set from the leader.
		bootstrap.Config = quorum.Config{}
	}
	return nil
}
