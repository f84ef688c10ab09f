// Package api defines the objects that the platform's object API holds for
// wheatweir, and the identifiers that all other packages share.
//
// Every object has a name inside a kind, and a version that the object API
// assigns. Versions come from one counter for the whole object API, so any two
// versions can be compared.
package api
