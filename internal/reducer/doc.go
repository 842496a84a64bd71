// Package reducer decides everything one VM does: a single function takes an
// event and the state and returns effects as data. It reads no clock, starts no
// goroutine and does no I/O.
package reducer
