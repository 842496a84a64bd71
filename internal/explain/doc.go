// Package explain finds out from the log files of a site how one request ended
// and why.
package explain
