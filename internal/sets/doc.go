// Package sets reads the settings file of an entry instance.
package sets
