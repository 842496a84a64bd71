// Package seats decides which control VMs hold a vote: it lets new ones join as
// learners, promotes those that have caught up, and removes those that lost their
// disk or stay silent.
package seats
