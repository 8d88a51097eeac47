// Package confs keeps the configuration in the platform and the newest known one in force.
package confs
