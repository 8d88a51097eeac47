// Package retry limits the number and pace of retries, so that retries cannot amplify a
// failure.
package retry
