// Package shift limits how much traffic moves between failure domains per
// interval.
package shift
