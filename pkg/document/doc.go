// Package document parses and checks the steering document that operators
// write: four TOML sections (places, services, ranks, stops), each owned by a
// team and versioned on its own.
package document
