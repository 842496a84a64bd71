// Package virtual lets time pass in measurements and tests: work is done at its
// time and in the order in which it was planned, without waiting.
package virtual
