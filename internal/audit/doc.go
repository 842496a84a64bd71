// Package audit stores each VM's audit trail in files as a hash chain, and
// verifies trails against the promises of the system.
package audit
