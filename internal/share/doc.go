// Package share decides, on one entry, which requests are refused first where the servers
// of a service are short of capacity, so that customers of one rank share it by max-min
// fairness. It is pure: the time is passed in. docs/design/fairshare.md explains the control.
package share
