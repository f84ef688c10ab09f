// Package pace estimates the speed of instances relative to the typical instance of their service.
//
// Daemons sample the gap between two events of a stream, with its instance and its model. Models differ in speed too,
// so the logarithm of a sample is modelled as the sum of a model effect and an instance effect. Tracker estimates both
// together. Daemons share samples, merged by instance and model (Batch), and estimated factors (Sharer). The pace of an
// instance is its factor: the time its work takes, as a multiple of the typical time. The package does no input or
// output and reads no clock.
package pace
