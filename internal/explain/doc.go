// Package explain finds in the log files of a site what became of one request and
// why.
package explain
