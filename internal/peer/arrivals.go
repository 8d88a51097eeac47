package peer

import (
	"maps"
	"slices"
)

// maxGap bounds the streams that are remembered beyond a number that has not arrived: the peer takes numbers before it
// queues the frames that use them, and some are never used.
const maxGap = 1 << 14

// arrivals has the numbers of the streams that the peer has opened over a link, so that a request that comes again isn't
// run again. The zero value has none.
type arrivals struct {
	// All numbers up to floor count as arrived; above has the others that have.
	floor uint64
	above map[uint64]bool
}

// add adds a number, counted from 1, and reports whether it is new.
func (a *arrivals) add(number uint64) bool {
	switch {
	case number <= a.floor || a.above[number]:
		return false
	case number > a.floor+1:
		if a.above == nil {
			a.above = map[uint64]bool{}
		}
		a.above[number] = true
		if len(a.above) <= maxGap {
			return true
		}
		numbers := slices.Sorted(maps.Keys(a.above))
		a.floor = numbers[len(numbers)/2]
		for _, below := range numbers[:len(numbers)/2+1] {
			delete(a.above, below)
		}
	default:
		a.floor = number
	}
	for a.above[a.floor+1] {
		a.floor++
		delete(a.above, a.floor)
	}
	return true
}
