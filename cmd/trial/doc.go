// Command trial measures steering decisions under load and faults in simulated
// time and prints the tables of docs/MEASUREMENTS.md.
package main
