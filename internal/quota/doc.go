// Package quota spends this instance's part of each customer's rate and borrows
// tokens from peers where the demand is.
package quota
