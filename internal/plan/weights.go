package plan

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// stepTowards moves the weights towards the target as far as possible while at
// most the share step of all blocks changes its domain. A target within the
// deadband is ignored unless force is set.
func stepTowards(weights, target []float64, step float64, force bool) {
	if sum(target) == 0 {
		return
	}
	distance := movedShare(weights, target)
	if distance == 0 || (distance < deadband && !force) {
		return
	}
	if distance <= step {
		copy(weights, target)
		return
	}
	const halvings = 20
	low, high := 0.0, 1.0
	next := make([]float64, len(weights))
	for range halvings {
		middle := (low + high) / 2
		interpolate(next, weights, target, middle)
		if movedShare(weights, next) <= step {
			low = middle
		} else {
			high = middle
		}
	}
	interpolate(next, weights, target, low)
	copy(weights, next)
}

func interpolate(result, from, to []float64, share float64) {
	for i := range result {
		result[i] = from[i] + share*(to[i]-from[i])
	}
}

// movedShare is the share of blocks whose domain differs between two weights
// under Table's placement. A block stays with domain i when i has the earliest
// draw under the old weights and under the new ones (see rankCandidates), which
// has the probability 1 / sum over j of max(old[j]/old[i], new[j]/new[i]).
func movedShare(old, new []float64) float64 {
	stays := 0.0
	for i := range old {
		if old[i] <= 0 || new[i] <= 0 {
			continue
		}
		ratios := 0.0
		for j := range old {
			ratios += max(old[j]/old[i], new[j]/new[i])
		}
		stays += 1 / ratios
	}
	const rounding = 1e-12 // share; a smaller result is a rounding error
	if moved := 1 - stays; moved > rounding {
		return moved
	}
	return 0
}

func normalise(weights []float64) []float64 {
	total := sum(weights)
	if total == 0 {
		return weights
	}
	for i := range weights {
		weights[i] /= total
	}
	return weights
}
