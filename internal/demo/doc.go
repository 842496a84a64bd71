// Package demo runs a whole site in one process: ten VMs and simulated backend
// servers that talk over real sockets on a loopback address.
package demo
