// Command standin simulates the platform and the database groups of a deployment in a
// separate process, so that the command serve can be run against them.
package main
