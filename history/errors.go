package history

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("history")

// errArrayLength reports an encoded place that is not an array of two elements.
var errArrayLength = Error.New("encoded place is not an array of two elements")
