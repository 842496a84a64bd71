// Package ledger is the replicated state machine above the quorum: versioned
// sections of the steering document, claims on idempotency keys, and anchors
// of audit trails. Applying a command is deterministic; time comes with it.
package ledger
