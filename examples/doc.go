// Package examples embeds the example deployments that the commands demo and bench run.
package examples
