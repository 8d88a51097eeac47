// Package group decides when a database group changes its primary, and how.
//
// A Machine is pure: Step takes the time and one event and returns the actions
// to carry out. Safety rests on the servers alone: a server seals a term for one
// claimant, so a majority of sealed servers ends the old term and no two
// claimants can both promote in one term. Everything else, who acts first, the
// platform's record, the corroboration, is for speed and calm.
package group
