// Package trial measures heatherwood's decisions under load and faults. It
// simulates a site in virtual time: arrivals, slots and service times are
// synthetic, while the packages plan, dispatch, relay and shift run as in
// production. The same arrivals also run through simple load-balancing
// baselines.
package trial
