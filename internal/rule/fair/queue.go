package fair

import (
	"container/heap"
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Flow identifies the requests that get one weighted share: those of one customer and kind, such
// as the requests to one route.
type Flow struct {
	Customer ident.CustomerID
	Kind     string
}

// Item is one waiting request.
type Item struct {
	Flow   Flow
	Weight float64
	// Cost is how much of the resource the item needs relative to an average one; 0 means 1.
	Cost float64
	// Deadline is when the item expires; Pop returns it among the expired ones afterwards.
	Deadline time.Time
	// Value is data of the caller, which the queue does not use.
	Value any

	// finish is the virtual finishing time, sequence the order of arrival and index the
	// position in heads.
	finish   float64
	sequence uint64
	index    int
}

// flow is the waiting items of one flow in order of arrival; finish is the virtual finishing
// time of the last one.
type flow struct {
	finish float64
	items  []*Item
	weight float64
}

// Queue orders waiting requests by virtual finishing time; it is not safe for concurrent use.
type Queue struct {
	capacity int
	// virtualTime is the highest virtual finishing time of any item popped so far.
	virtualTime float64
	sequence    uint64
	flows       map[Flow]*flow
	heads       heads
	size        int
}

// NewAsyncWriter returns a queue of at most capacity items.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, flows: map[Flow]*flow{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.size }

// Push adds an item and returns the one dropped to make room: nil, another item or the new one.
func (q *Queue) Push(it *Item) *Item {
	f := q.flow(it)
	it.finish = max(q.virtualTime, f.finish) + it.virtualCost()
	f.finish = it.finish
	q.sequence++
	it.sequence = q.sequence
	f.items = append(f.items, it)
	q.size++
	if len(f.items) == 1 {
		heap.Push(&q.heads, it)
	}
	if q.size <= q.capacity {
		return nil
	}
	return q.shed()
}

// virtualCost returns by how much an item advances the virtual finishing time of its flow.
func (it *Item) virtualCost() float64 {
	if it.Weight <= 0 {
		it.Weight = 1
	}
	if it.Cost <= 0 {
		it.Cost = 1
	}
	return it.Cost / it.Weight
}

// Ahead returns how many waiting items would be popped before an item that is pushed now.
func (q *Queue) Ahead(it *Item) int {
	finish := q.virtualTime
	if f := q.flows[it.Flow]; f != nil {
		finish = max(finish, f.finish)
	}
	finish += it.virtualCost()
	count := 0
	for _, f := range q.flows {
		for _, other := range f.items {
			if other.finish <= finish {
				count++
			}
		}
	}
	return count
}

// WaitingCustomers returns the customers with waiting items, each once, in the order in which their
// first items are popped.
func (q *Queue) WaitingCustomers() []ident.CustomerID {
	ordered := slices.Clone(q.heads)
	slices.SortFunc(ordered, func(a, b *Item) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	customers := make([]ident.CustomerID, 0, len(ordered))
	for _, it := range ordered {
		if !slices.Contains(customers, it.Flow.Customer) {
			customers = append(customers, it.Flow.Customer)
		}
	}
	return customers
}

// flow returns the flow of an item, after creating it if necessary and updating its weight.
func (q *Queue) flow(it *Item) *flow {
	f := q.flows[it.Flow]
	if f == nil {
		f = &flow{}
		q.flows[it.Flow] = f
	}
	f.weight = it.Weight
	return f
}

// shed drops and returns the newest item of the flow that has the most items for its weight.
func (q *Queue) shed() *Item {
	var heaviest Flow
	highest := -1.0
	newest := uint64(0)
	for name, f := range q.flows {
		load := float64(len(f.items)) / f.weight
		last := f.items[len(f.items)-1].sequence
		if load > highest || load == highest && last > newest {
			heaviest, highest, newest = name, load, last
		}
	}
	f := q.flows[heaviest]
	last := f.items[len(f.items)-1]
	f.finish -= last.virtualCost()
	q.drop(f, len(f.items)-1)
	return last
}

// Remove removes a waiting item, as when its caller gives up, and reports whether it was found.
func (q *Queue) Remove(it *Item) bool {
	f := q.flows[it.Flow]
	if f == nil {
		return false
	}
	for at, other := range f.items {
		if other == it {
			q.drop(f, at)
			return true
		}
	}
	return false
}

// drop removes a flow's item at an index, and the flow if it was the last one.
func (q *Queue) drop(f *flow, at int) {
	it := f.items[at]
	if at == 0 {
		heap.Remove(&q.heads, it.index)
		if len(f.items) > 1 {
			heap.Push(&q.heads, f.items[1])
		}
	}
	f.items = append(f.items[:at], f.items[at+1:]...)
	q.size--
	if len(f.items) == 0 {
		delete(q.flows, it.Flow)
	}
}

// Pop removes and returns the next item, and the items before it that have expired.
func (q *Queue) Pop(now time.Time) (next *Item, expired []*Item) {
	for len(q.heads) > 0 {
		it := q.heads[0]
		q.drop(q.flows[it.Flow], 0)
		if now.After(it.Deadline) {
			expired = append(expired, it)
			continue
		}
		q.virtualTime = max(q.virtualTime, it.finish)
		return it, expired
	}
	return nil, expired
}

// NextCustomer returns the customer of the next item; false if the queue is empty.
func (q *Queue) NextCustomer() (ident.CustomerID, bool) {
	if len(q.heads) == 0 {
		return "", false
	}
	return q.heads[0].Flow.Customer, true
}

// PopFor is Pop for the items of one customer.
func (q *Queue) PopFor(now time.Time, customer ident.CustomerID) (next *Item, expired []*Item) {
	for {
		var first *Item
		for at, it := range q.heads {
			if it.Flow.Customer == customer && (first == nil || q.heads.Less(at, first.index)) {
				first = it
			}
		}
		if first == nil {
			return nil, expired
		}
		q.drop(q.flows[first.Flow], 0)
		if now.After(first.Deadline) {
			expired = append(expired, first)
			continue
		}
		q.virtualTime = max(q.virtualTime, first.finish)
		return first, expired
	}
}

// WaitingFor returns the number of a customer's waiting items.
func (q *Queue) WaitingFor(customer ident.CustomerID) int {
	count := 0
	for _, it := range q.heads {
		if it.Flow.Customer == customer {
			count += len(q.flows[it.Flow].items)
		}
	}
	return count
}

// heads is a heap of the first items of all flows, the next one to pop at the top.
type heads []*Item

func (h heads) Len() int           { return len(h) }
func (h heads) Less(i, j int) bool { return h[i].before(h[j]) }

// before reports whether an item is popped before another one.
func (it *Item) before(other *Item) bool {
	if it.finish != other.finish {
		return it.finish < other.finish
	}
	return it.sequence < other.sequence
}

func (h heads) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *heads) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *heads) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
