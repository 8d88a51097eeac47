// Package retry bounds how often work is tried again, so that retries cannot
// multiply a failure.
package retry
