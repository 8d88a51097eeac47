// Package cmds is the command line: its options, their checks and the exit codes.
package cmds
