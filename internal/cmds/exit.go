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
	exitInvalid  = 2
	exitConflict = 3
)

// UsageError says that a command was called with wrong arguments or flags.
type UsageError struct{ Message string }

// Error implements error.
func (e *UsageError) Error() string { return e.Message }

// ListenError says that an instance cannot listen on an address of its settings.
type ListenError struct {
	Key     string
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("[instance] %s = %s: want a free address of this host: %v", e.Key, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ViolationError says that a run violated consistency or rate guarantees.
type ViolationError struct{ Count int64 }

// Error implements error.
func (e *ViolationError) Error() string { return fmt.Sprintf("%d violations of guarantees", e.Count) }

// exitCode prints a command's error, if any, and returns the exit code for it.
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
	var conflict *confs.ConcurrentChangeError
	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &usage), errors.As(err, &mistakes), errors.As(err, &invalid), errors.As(err, &listen), errors.As(err, &load):
		return exitInvalid
	}
	return exitFailed
}
