// Package quarantine finds requests that crash the backend servers that run
// them and keeps them from further servers.
package quarantine
