// Command heatherwood steers requests from callers to backend servers; run it
// with --help for its commands.
package main
