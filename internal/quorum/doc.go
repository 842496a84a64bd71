// Package quorum replicates a log over the control replicas with the Raft
// protocol: terms, pre-vote, check-quorum, replica changes one at a time, and
// snapshot transfer in chunks. It is a pure state machine without I/O: each
// event returns effects, and the caller saves, sends and applies them.
package quorum
