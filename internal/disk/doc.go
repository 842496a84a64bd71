// Package disk stores the replicated log and its snapshots in a data folder. The
// log consists of append-only segments with a checksum per record. A snapshot is
// written to a temporary file, synced and renamed.
package disk
