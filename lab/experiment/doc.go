// Package experiment runs the system and baselines on the same requests in
// virtual time, and measures the share of requests served within their targets
// for each accelerator, and moves.
//
// Assumptions of the model, with their source: engines batch continuously with
// a step time linear in the batch (Yu et al., "Orca", OSDI 2022); requests come
// as a Poisson process with a rate that changes in steps, and models are asked
// for by a power law (usual for shared serving; the skew is a setting); weights
// load through a store with the rates of the brief; network delays are those of
// the brief.
package experiment
