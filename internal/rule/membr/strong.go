package membr

import "geraniumseam.dev/pkg/ident"

const (
	// thresholdDivisor divides the threshold weight in each step, from the highest weight
	// down: the first step selects the members above half of the highest weight.
	thresholdDivisor = 2
	// capacityDivisor divides a data centre's total weight: the selected members must have
	// at least a fifth of it.
	capacityDivisor = 5
)

// Strong returns the members of each data centre that may own groups and hold rate shares:
// those with a weight close to the highest. Members of lower weight are added where the
// strong ones alone would have too little capacity.
func Strong(centers Centers) Centers {
	strong := Centers{}
	for center, members := range centers {
		strong[center] = strongMembers(members)
	}
	return strong
}

func strongMembers(members []Member) []Member {
	total, threshold := ident.Millicores(0), ident.Millicores(0)
	for _, m := range members {
		total += m.Weight
		threshold = max(threshold, m.Weight)
	}
	for threshold > 0 {
		threshold /= thresholdDivisor
		var pool []Member
		capacity := ident.Millicores(0)
		for _, m := range members {
			if m.Weight > threshold {
				pool = append(pool, m)
				capacity += m.Weight
			}
		}
		if len(pool) == len(members) || len(pool) > 1 && capacity*capacityDivisor >= total {
			return pool
		}
	}
	return members
}
