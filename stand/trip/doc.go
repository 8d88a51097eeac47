// Package trip counts how often an injected fault is still to happen.
package trip
