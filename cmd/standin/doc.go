// Command standin runs the stand-ins of the platform and of the database groups of
// a deployment as a process of their own, so that serve can be run against them.
package main
