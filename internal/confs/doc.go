// Package confs stores the configuration in the platform and distributes it: it applies
// changes, watches for newer versions and holds the version in use on an instance.
package confs
