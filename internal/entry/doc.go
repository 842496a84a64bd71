// Package entry serves a VM's HTTP endpoints for callers, backend servers and
// operators on one listener.
package entry
