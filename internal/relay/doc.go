// Package relay decides what happens next to one caller's request: claim its
// key, ask for a slot, send it, try elsewhere, answer or refuse. Only the entry
// that took a request from its caller decides about further tries.
package relay
