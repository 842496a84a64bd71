// Package standin is a backend server for the demo and the tests: it announces
// itself, takes a set time per request and counts what it ran.
package standin
