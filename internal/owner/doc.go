// Package owner runs requests on the servers of the database groups that this instance owns.
//
// The owners of a group share the limited connections to its servers, poll the
// servers, route reads, withhold the answer to a write until a majority of servers
// holds the write, and replace a failed primary. Other instances forward their
// requests to an owner.
package owner
