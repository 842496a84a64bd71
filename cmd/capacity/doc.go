// Command capacity measures what a VM spends on control messages, by the size of
// the fleet, and prints the tables of docs/CAPACITY.md.
package main
