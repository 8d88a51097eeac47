// Command geraniumseam is a database proxy with session consistency.
package main
