// Package peerrpc carries calls and one-way messages between VMs by net/rpc over
// TCP, after both ends have proved that they hold the site's key.
package peerrpc
