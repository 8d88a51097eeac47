// Package cmds implements the command line: the commands, their flags and the exit codes.
package cmds
