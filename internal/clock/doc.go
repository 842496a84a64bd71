// Package clock defines a source of time that tests can replace.
package clock
