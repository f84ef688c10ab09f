// Package route selects the back end for a request.
//
// A Table maps models and services to the back ends that serve them. Picker.Pick
// filters the candidates of a model, scores each and picks the best. It takes no
// lock and does not allocate, so that any number of requests can be routed
// concurrently.
//
// Load reports are stale when they arrive. The load of a candidate is therefore
// the reported load from other daemons, which decays with age, plus the requests
// that this daemon itself has in progress there.
package route
