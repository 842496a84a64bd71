// Package codec encodes and decodes, as msgpack, the data that is kept in the
// replicated log and on disk and sent between replicas.
package codec
