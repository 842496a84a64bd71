// Package examples holds the steering documents of two sites at the sizes of
// the brief; the demo and the tests use them.
package examples
