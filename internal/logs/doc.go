// Package logs sends klog's output to a writer as JSON lines.
package logs
