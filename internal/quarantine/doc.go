// Package quarantine finds requests that crash the backend servers that run
// them, and stops such requests from reaching further servers.
package quarantine
