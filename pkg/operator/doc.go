// Package operator is a client for operators: sections of the steering
// document, status, audit records and replicas of a running system.
package operator
