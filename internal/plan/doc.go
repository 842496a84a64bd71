// Package plan decides to which failure domains the look-ups of each client
// block lead: weights per service and place, moved in small steps, and a stable
// placement of blocks on them.
package plan
