// Package virtual provides the clock of discrete-event simulations in
// measurements and tests. Scheduled functions run in order of their virtual
// time, without waiting.
package virtual
