// Package audit keeps each VM's audit trail as a chain of hashes in files, and
// verifies trails against the promises of the system.
package audit
