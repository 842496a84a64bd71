// Package demo runs a whole site on loopback in one process: ten VMs and their
// backend servers over real sockets.
package demo
