// Package stdout writes log lines to standard output without ever blocking the
// goroutines that log.
package stdout
