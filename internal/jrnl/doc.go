// Package jrnl is the event journal of an instance: typed events in a ring buffer of fixed
// capacity, each counted and logged when it is added.
package jrnl
