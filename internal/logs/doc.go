// Package logs writes klog's output to a writer as JSON lines, directly or through a
// buffer that never blocks the program.
package logs
