// Package group decides when the primary of a database group must be replaced and
// runs the promotion of its successor.
//
// A Machine is a deterministic state machine without I/O: Step takes the current
// time and one event and returns the actions to carry out.
//
// A server that is sealed for a term follows no lower term and accepts promotion in
// that term only from the claimant that sealed it. A majority of sealed servers
// therefore ends the old term, and two claimants cannot both promote a server in one
// term. Safety depends on these seals alone. The ranking of the instances, the
// platform's record and the views of other instances only make failover faster and
// prevent needless ones.
//
// In a fenced group the servers count terms themselves and know no claimants.
// There a promotion also needs a claim that the platform has recorded.
package group
