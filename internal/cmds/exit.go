package cmds

import (
	"errors"
	"fmt"
	"io"

	"geraniumseam.dev/internal/certs"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/inifl"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitMistake  = 2
	exitLostRace = 3
)

// UsageError says that a command was called wrongly.
type UsageError struct{ Want string }

// Error implements error.
func (e *UsageError) Error() string { return e.Want }

// ListenError says that an address cannot be listened on.
type ListenError struct {
	Key     string
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("[instance] %s = %s: want an address that is free and this machine's own: %v", e.Key, e.Address, e.Cause)
}

// Unwrap returns what stood in the way.
func (e *ListenError) Unwrap() error { return e.Cause }

// ViolationError says that a promise was broken during a run.
type ViolationError struct{ Count int64 }

// Error implements error.
func (e *ViolationError) Error() string { return fmt.Sprintf("%d violations", e.Count) }

// exitCode tells the outcome of a command apart and prints what went wrong.
func exitCode(err error, out io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(out, err)
	var usage *UsageError
	var mistakes inifl.Mistakes
	var invalid *confs.InvalidError
	var listen *ListenError
	var load *certs.LoadError
	var lost *confs.LostRaceError
	switch {
	case errors.As(err, &lost):
		return exitLostRace
	case errors.As(err, &usage), errors.As(err, &mistakes), errors.As(err, &invalid), errors.As(err, &listen), errors.As(err, &load):
		return exitMistake
	}
	return exitFailed
}
