// Command trial measures the decisions under load and faults and prints the
// tables of docs/MEASUREMENTS.md.
package main
