// Package quorum replicates a log over the control replicas. It is a pure
// state machine: events go in, effects come out, and the shell saves, sends
// and applies. The protocol is leader based with terms, pre-vote, check-quorum,
// one-at-a-time replica changes and snapshot transfer in pieces.
package quorum
