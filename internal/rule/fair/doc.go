// Package fair shares a scarce resource among customers by weighted fair queueing.
//
// The queue is bounded: when it is full, the customer that holds most of it for
// its weight loses its newest entry first.
package fair
