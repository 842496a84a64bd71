// Package backendhttp takes the announcements of backend servers.
package backendhttp
