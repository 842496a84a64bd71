// Command capacity measures the cost of control by the size of the fleet and
// prints the tables of docs/CAPACITY.md.
package main
