// Package quota charges requests against their customers' rates. It keeps the leases of the
// shards that this instance holds, lends tokens of them to other instances and borrows tokens
// of the other shards.
//
//	request ──▶ TryTake, Take ──▶ account ──▶ its bucket
//	                                 └──▶ gather ──▶ the holder in this data centre (Lend)
//	                                                   └──▶ holders in the others (Lend)
//	renewLoop ──▶ tableWriter ──▶ the platform's table of shares
//
// The choice of shards, amounts and waits is made in rule/share.
package quota
