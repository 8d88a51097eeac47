// Package sets reads the settings of one entry instance.
package sets
