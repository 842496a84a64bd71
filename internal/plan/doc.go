// Package plan decides which failure domains a look-up returns for each client
// block. It keeps weights per service and place, changes them in small steps,
// and places blocks by them with weighted rendezvous hashing.
package plan
