// Package node runs one VM: it turns requests, calls from peers, disk results and
// timer ticks into events for the reducer, and executes the effects it returns.
package node
