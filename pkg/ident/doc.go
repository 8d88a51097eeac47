// Package ident defines the identifiers, log positions and session tokens that all of
// geraniumseam uses.
//
// Parsing failures are reported as *ParseError.
package ident
