// Package operatorhttp serves the HTTP API for operators: sections of the steering
// document, status, audit records, quarantine, replicas and metrics.
package operatorhttp
