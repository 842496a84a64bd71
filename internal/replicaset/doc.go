// Package replicaset decides which control VMs belong to the replica set, and which of
// them vote: new VMs join as learners, learners that caught up are promoted, and
// replicas that lost their disk or stopped answering are removed.
package replicaset
