// Package ledger is the state machine that the control replicas replicate with
// package quorum: versioned sections of the steering document, claims on
// idempotency keys, and anchors of audit trails. Applying a command is
// deterministic; the command carries the time.
package ledger
