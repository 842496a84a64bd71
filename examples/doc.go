// Package examples holds the documents that configure two example sites, each of three
// regions and six failure domains; the demo, the trials and the tests use them.
package examples
