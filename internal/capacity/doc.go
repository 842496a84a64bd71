// Package capacity measures what a VM spends on control by the size of the
// fleet: it runs the reducers of a whole fleet in virtual time and counts
// messages, bytes and processor time by role.
package capacity
