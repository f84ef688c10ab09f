// Package route chooses the back end for a request.
//
// A Table says what serves which model. Picker.Pick filters the candidates of a
// model, scores each and picks the best. It takes no lock
// and allocates nothing, so that any number of requests can be routed at once.
//
// Reports of load lag behind, so a candidate's load is what it last reported
// from others, fading with age, plus what this daemon itself has in progress
// there now.
package route
