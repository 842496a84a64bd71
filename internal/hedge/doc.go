// Package hedge decides when a request that is late is tried a second time, on another server, while
// the first one goes on (hedged requests). It is pure.
package hedge
