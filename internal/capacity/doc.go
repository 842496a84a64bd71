// Package capacity measures how the cost of control grows with the size of the
// fleet. It runs the reducers of a whole fleet in virtual time and counts
// messages, bytes and processor time by role.
package capacity
