// Package callerhttp serves callers over HTTP: it answers look-ups of entries, and
// relays requests to backend servers.
package callerhttp
