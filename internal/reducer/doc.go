// Package reducer decides everything one VM does: a single function takes an
// event and the state and returns effects as data. It reads no clock, starts no
// goroutine and does no I/O; the program around it (package node) reports events
// and carries out the effects.
//
// A VM that takes callers' requests is an entry; a VM with a data folder holds
// a control replica. The slots of a service are granted in one of two ways: by
// one VM of each failure domain, the owner (dispatch.Pool), or by each entry
// for itself (placing.Pool).
package reducer
