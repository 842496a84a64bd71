// Package problem writes refusals as problem documents (application/problem+json,
// RFC 9457).
package problem
