// Package owner runs requests on a database group's servers.
//
// The instances that own a group hold its scarce connections, watch its servers,
// choose where a read goes, hold a write's answer back until a majority of
// servers has the write, and replace a primary that is gone. Other instances hand
// their requests to an owner.
package owner
