// Package standin simulates a backend server for the demo and the tests: it announces
// itself, takes a fixed time for each request and counts the requests that it ran.
package standin
