// Package oper serves operators over HTTP: metrics, health, the journal and what is in force.
package oper
