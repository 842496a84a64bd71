// Package node is the shell around the reducer: it turns HTTP, rpc, disk and
// timers into events and carries the effects out.
package node
