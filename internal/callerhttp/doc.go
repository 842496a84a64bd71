// Package callerhttp serves callers: look-ups of entries, and requests that are
// relayed to backend servers.
package callerhttp
