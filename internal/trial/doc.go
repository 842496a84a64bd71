// Package trial measures the decisions under load and faults: it drives the
// real parts (plan, dispatch, relay, shift) in virtual time with the arrivals,
// slots and service times of a site, and the same arrivals through baselines.
package trial
