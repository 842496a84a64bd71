// Package caller is a client for callers: it looks up entry VMs, keeps the
// answer for its time to live, changes entry on failure and resends safely.
package caller
