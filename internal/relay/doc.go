// Package relay holds the state machine of one caller's request: claim its key,
// ask for a slot on a backend server, send it, retry, answer or refuse. Only the
// VM that received a request from its caller retries it.
package relay
