// Package share divides each customer's rate and burst among the instances so that the
// parts never add up to more than the whole.
//
// The customers of a data centre fall into shards. One instance holds each shard under a
// lease that is stored in the platform; the holder counts the lease from before it sent
// the request. Instances lend tokens to each other directly: the lender first takes the
// tokens out of its bucket and does not refill their room until they have expired. A lost
// message therefore loses tokens, and a late or duplicated one creates none.
package share
