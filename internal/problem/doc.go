// Package problem writes refusals as application/problem+json.
package problem
