package ident

// InstanceID names one entry instance.
type InstanceID string

// CenterID names a data centre.
type CenterID string

// CustomerID names a customer.
type CustomerID string

// KeyID names a customer's API key; it is not the secret key itself.
type KeyID string

// ServiceID names a service or a route, which callers connect to as a database.
type ServiceID string

// GroupID names a database group: one primary and its replicas.
type GroupID string

// ServerID names a backend server.
type ServerID string

// TraceID identifies a request in log lines, journal events and error messages.
type TraceID string

// Millicores is processor capacity, in thousandths of a core.
type Millicores int
