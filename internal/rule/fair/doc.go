// Package fair shares a scarce resource among customers by weighted fair queueing.
//
// The queue is bounded. When it overflows, it drops the newest item of the flow that has the
// most items for its weight.
package fair
