// Package pause finds out that the process did not run for a while, as on a VM that was
// frozen. What reached the process meanwhile is older than it looks.
package pause
