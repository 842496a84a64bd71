// Package relay holds the state machine of one caller's request: claim its key,
// request a slot on a backend server, send the request there, retry, answer or
// refuse. Only the VM that received a request from its caller retries it.
package relay
