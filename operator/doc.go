// Package operator is the peer package for operators: a small query and
// command language.
//
// A command is one line. Queries start with "show" or "why"; all other
// commands change configuration through conditional updates, whole or not at
// all. Parse gives a typed command, Executor runs it, and Result is what the
// operator sees as a table or as JSON.
package operator
