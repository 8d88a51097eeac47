// Package bench runs open-loop load with bounded queues against a deployment,
// injects named faults, checks every answer against the consistency, isolation
// and rate guarantees, and reports measurements.
package bench
