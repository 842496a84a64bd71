// Package delta encodes a text as its difference from an older one, by lines and
// compressed, so that a small change of a long text takes few bytes wherever it is.
package delta
