// Package codec writes and reads the data that lives in the log, on disk and
// between replicas.
package codec
