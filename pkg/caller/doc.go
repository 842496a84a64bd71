// Package caller is a client for callers: it looks up entry VMs, caches the
// answer for its time to live, fails over to another entry VM, and sends a
// request again only when that is safe.
package caller
