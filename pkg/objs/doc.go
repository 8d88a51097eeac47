// Package objs describes the platform's object API: objects with resource
// versions, conditional updates and watches, as JSON over HTTP.
package objs
