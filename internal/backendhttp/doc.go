// Package backendhttp receives the announcements of backend servers over HTTP.
package backendhttp
