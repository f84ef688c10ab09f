package history

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("history")

// errParts is the error of a place that is not an array of two numbers.
var errParts = Error.New("a place is not of two parts")
