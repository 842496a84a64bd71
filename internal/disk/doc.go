// Package disk keeps the replicated log and its snapshots in a data folder:
// segmented append-only files with a checksum per record, and snapshots that
// are written aside, synced and renamed.
package disk
