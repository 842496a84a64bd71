// Package intake bounds the bytes that the requests of a process hold together: a limit on each
// of them alone leaves the sum to those who send.
package intake
