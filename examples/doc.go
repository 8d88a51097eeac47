// Package examples holds the deployments that demo and bench can run.
package examples
