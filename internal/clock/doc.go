// Package clock passes the time in, so that tests can hold it still.
package clock
