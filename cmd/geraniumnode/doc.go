// Command geraniumnode runs one entry instance on the users' platform.
package main
