// Package document parses and checks the steering document: five TOML sections
// (places, services, ranks, stops, routes), each written by a team and versioned
// on its own, and the closures, which API calls write.
package document
