// Package ident names the things geraniumseam routes between and the units it counts in.
//
// Parsing failures are reported as *ParseError.
package ident
