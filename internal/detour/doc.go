// Package detour chooses the VM that serves a request in place of one that cannot reach the
// backend servers itself.
package detour
