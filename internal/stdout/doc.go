// Package stdout writes log lines to standard output without ever blocking those
// who log.
package stdout
